#include "ticket_history.hpp"

#include <algorithm>

namespace jujubecart::tests {

using store::AcceptedTicket;
using store::TicketStatus;

namespace {

class Checker {
public:
  explicit Checker(const History &Run) : Run(Run), Order(Run.Accepted) {
    std::sort(Order.begin(), Order.end(),
              [](const auto &Left, const auto &Right) {
                return Left.Accepted < Right.Accepted;
              });
  }

  std::vector<std::string> check() {
    checkOrder();
    if (Violations.empty())
      replay();
    for (const Submission &Item : Run.Submissions)
      checkAnswer(Item);
    checkRealTime();
    checkObservations();
    return Violations;
  }

private:
  const History &Run;
  std::vector<AcceptedTicket> Order;
  std::vector<std::string> Violations;
  /// State after each revision; index 0 is empty.
  std::vector<std::map<std::string, std::uint32_t>> States{{}};
  /// Revision and ticket of the changes of each service, in order.
  std::map<std::string, std::map<core::Revision, std::uint64_t>> Changes;

  void report(std::uint64_t Ticket, const std::string &Text) {
    Violations.push_back("ticket " + std::to_string(Ticket) + ": " + Text);
  }

  const AcceptedTicket *find(std::uint64_t Number) const {
    for (const AcceptedTicket &Item : Order)
      if (Item.Number == Number)
        return &Item;
    return nullptr;
  }

  const HistoryTicket *content(const AcceptedTicket &Item) const {
    for (const Submission &Sent : Run.Submissions)
      if (Sent.Ticket.Number == Item.Number &&
          Sent.Ticket.Digest == Item.Digest)
        return &Sent.Ticket;
    return nullptr;
  }

  void checkOrder() {
    for (std::size_t Index = 0; Index < Order.size(); ++Index) {
      if (Order[Index].Accepted != Index + 1)
        report(Order[Index].Number, "revision gap or duplicate");
      if (find(Order[Index].Number) != &Order[Index])
        report(Order[Index].Number, "accepted twice");
      if (content(Order[Index]) == nullptr)
        report(Order[Index].Number, "accepted but never submitted");
    }
  }

  void replay() {
    for (const AcceptedTicket &Item : Order) {
      const HistoryTicket &Ticket = *content(Item);
      States.push_back(States.back());
      for (const auto &[Name, Value] : Ticket.Services) {
        auto &Earlier = Changes[Name];
        if (!Earlier.empty() && Earlier.rbegin()->first > Ticket.BasedOn)
          report(Ticket.Number, "lost update of " + Name);
        Earlier[Item.Accepted] = Ticket.Number;
        if (Value)
          States.back()[Name] = *Value;
        else
          States.back().erase(Name);
      }
      if (Ticket.BasedOn >= Item.Accepted)
        report(Ticket.Number, "based on its own future");
    }
  }

  bool isAccepted(const HistoryTicket &Ticket) const {
    const AcceptedTicket *Record = find(Ticket.Number);
    return Record != nullptr && Record->Digest == Ticket.Digest;
  }

  void checkAnswer(const Submission &Item) {
    if (!Item.Answer)
      return;
    const AcceptedTicket *Record = find(Item.Ticket.Number);
    switch (Item.Answer->Status) {
    case TicketStatus::Accepted:
      if (!isAccepted(Item.Ticket) || Record->Accepted != Item.Answer->Accepted)
        report(Item.Ticket.Number, "answered as accepted but is not");
      break;
    case TicketStatus::Beaten:
      checkBeaten(Item);
      break;
    case TicketStatus::NumberReused:
      if (Record == nullptr || Record->Digest == Item.Ticket.Digest)
        report(Item.Ticket.Number, "false refusal: number is not reused");
      break;
    case TicketStatus::Invalid:
      report(Item.Ticket.Number, "false refusal: ticket is valid");
      break;
    case TicketStatus::Unavailable:
      checkUnavailable(Item);
      break;
    case TicketStatus::Unknown:
      break;
    }
  }

  void checkBeaten(const Submission &Item) {
    if (isAccepted(Item.Ticket))
      report(Item.Ticket.Number, "answered as beaten but accepted");
    const auto &Answer = *Item.Answer;
    const auto Changed = Changes.find(Answer.Service);
    const bool Touched = Item.Ticket.Services.count(Answer.Service) != 0;
    if (!Touched || Changed == Changes.end() ||
        Answer.Accepted <= Item.Ticket.BasedOn) {
      report(Item.Ticket.Number, "false refusal: not beaten");
      return;
    }
    const auto Winner = Changed->second.find(Answer.Accepted);
    if (Winner == Changed->second.end() || Winner->second != Answer.BeatenBy)
      report(Item.Ticket.Number, "false refusal: names the wrong winner");
  }

  // Only a ticket that was submitted once can be attributed.
  void checkUnavailable(const Submission &Item) {
    const auto Same = std::count_if(
        Run.Submissions.begin(), Run.Submissions.end(), [&](const auto &Other) {
          return Other.Ticket.Number == Item.Ticket.Number &&
                 Other.Ticket.Digest == Item.Ticket.Digest;
        });
    if (Same == 1 && isAccepted(Item.Ticket))
      report(Item.Ticket.Number, "answered as not accepted but accepted");
  }

  void checkRealTime() {
    for (const Submission &Before : Run.Submissions)
      for (const Submission &After : Run.Submissions) {
        if (!Before.Answer || Before.Returned >= After.Invoked ||
            Before.Answer->Status != TicketStatus::Accepted ||
            isRepeat(After) || !isAccepted(After.Ticket))
          continue;
        if (find(After.Ticket.Number)->Accepted <= Before.Answer->Accepted)
          report(After.Ticket.Number, "ordered before an earlier response");
      }
  }

  bool isRepeat(const Submission &Item) const {
    return std::any_of(Run.Submissions.begin(), Run.Submissions.end(),
                       [&](const Submission &Other) {
                         return Other.Invoked < Item.Invoked &&
                                Other.Ticket.Number == Item.Ticket.Number &&
                                Other.Ticket.Digest == Item.Ticket.Digest;
                       });
  }

  void checkObservations() {
    std::map<std::string, core::Revision> Last;
    for (const Observation &Item : Run.Observations) {
      const std::string Name =
          "vm " + Item.Vm + " revision " + std::to_string(Item.Number) + ": ";
      if (Item.Number < Last[Item.Vm])
        Violations.push_back(Name + "older than the one before");
      Last[Item.Vm] = Item.Number;
      if (Item.Number >= States.size() || Item.State != States[Item.Number])
        Violations.push_back(Name + "not the state of the accepted tickets");
    }
  }
};

} // namespace

std::vector<std::string> checkHistory(const History &Run) {
  return Checker(Run).check();
}

} // namespace jujubecart::tests
