#include "ticket_history.hpp"

#include <algorithm>

namespace jujubecart::tests {

using store::AcceptedTicket;
using store::TicketStatus;

namespace {

class Checker {
public:
  explicit Checker(const History &Run)
      : Run(Run), AcceptedInOrder(Run.Accepted) {
    std::sort(AcceptedInOrder.begin(), AcceptedInOrder.end(),
              [](const auto &Left, const auto &Right) {
                return Left.Revision < Right.Revision;
              });
  }

  std::vector<std::string> check() {
    checkAcceptedOrder();
    if (Violations.empty())
      replay();
    for (const Submission &Item : Run.Submissions)
      checkResponse(Item);
    checkCallOrder();
    checkObservations();
    return Violations;
  }

private:
  const History &Run;
  std::vector<AcceptedTicket> AcceptedInOrder;
  std::vector<std::string> Violations;
  /// Services after each revision, by revision; revision 0 is empty.
  std::vector<std::map<std::string, std::uint32_t>> States{{}};
  /// By service: the revision of each change and the ticket that made it.
  std::map<std::string, std::map<core::Revision, std::uint64_t>> Changes;

  void report(std::uint64_t Ticket, const std::string &Text) {
    Violations.push_back("ticket " + std::to_string(Ticket) + ": " + Text);
  }

  [[nodiscard]] const AcceptedTicket *find(std::uint64_t Number) const {
    for (const AcceptedTicket &Item : AcceptedInOrder)
      if (Item.Number == Number)
        return &Item;
    return nullptr;
  }

  [[nodiscard]] const HistoryTicket *
  findContent(const AcceptedTicket &Item) const {
    for (const Submission &Sent : Run.Submissions)
      if (Sent.Ticket.Number == Item.Number &&
          Sent.Ticket.Digest == Item.Digest)
        return &Sent.Ticket;
    return nullptr;
  }

  void checkAcceptedOrder() {
    for (std::size_t Index = 0; Index < AcceptedInOrder.size(); ++Index) {
      if (AcceptedInOrder[Index].Revision != Index + 1)
        report(AcceptedInOrder[Index].Number, "revision gap or duplicate");
      if (find(AcceptedInOrder[Index].Number) != &AcceptedInOrder[Index])
        report(AcceptedInOrder[Index].Number, "accepted twice");
      if (findContent(AcceptedInOrder[Index]) == nullptr)
        report(AcceptedInOrder[Index].Number, "accepted but never submitted");
    }
  }

  void replay() {
    for (const AcceptedTicket &Item : AcceptedInOrder) {
      const HistoryTicket &Ticket = *findContent(Item);
      States.push_back(States.back());
      for (const auto &[Name, Value] : Ticket.Services) {
        auto &Earlier = Changes[Name];
        if (!Earlier.empty() && Earlier.rbegin()->first > Ticket.BasedOn)
          report(Ticket.Number, "lost update of service " + Name);
        Earlier[Item.Revision] = Ticket.Number;
        if (Value)
          States.back()[Name] = *Value;
        else
          States.back().erase(Name);
      }
      if (Ticket.BasedOn >= Item.Revision)
        report(Ticket.Number, "based on a revision that did not exist yet");
    }
  }

  [[nodiscard]] bool isAccepted(const HistoryTicket &Ticket) const {
    const AcceptedTicket *Record = find(Ticket.Number);
    return Record != nullptr && Record->Digest == Ticket.Digest;
  }

  void checkResponse(const Submission &Item) {
    if (!Item.Response)
      return;
    const AcceptedTicket *Record = find(Item.Ticket.Number);
    switch (Item.Response->Status) {
    case TicketStatus::Accepted:
      if (!isAccepted(Item.Ticket) ||
          Record->Revision != Item.Response->Revision)
        report(Item.Ticket.Number, "answered as accepted but is not");
      break;
    case TicketStatus::Beaten:
      checkBeaten(Item);
      break;
    case TicketStatus::NumberReused:
      if (Record == nullptr || Record->Digest == Item.Ticket.Digest)
        report(Item.Ticket.Number, "wrong rejection: number is not reused");
      break;
    case TicketStatus::Invalid:
      report(Item.Ticket.Number, "wrong rejection: ticket is valid");
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
    const auto &Response = *Item.Response;
    const auto Changed = Changes.find(Response.Service);
    const bool ChangesService =
        Item.Ticket.Services.count(Response.Service) != 0;
    if (!ChangesService || Changed == Changes.end() ||
        Response.Revision <= Item.Ticket.BasedOn) {
      report(Item.Ticket.Number, "wrong rejection: not beaten");
      return;
    }
    const auto Conflicting = Changed->second.find(Response.Revision);
    if (Conflicting == Changed->second.end() ||
        Conflicting->second != Response.BeatenBy)
      report(Item.Ticket.Number,
             "wrong rejection: names the wrong conflicting ticket");
  }

  // If the same ticket was submitted several times, another submission may have
  // been accepted.
  void checkUnavailable(const Submission &Item) {
    const auto SameSubmissions = std::count_if(
        Run.Submissions.begin(), Run.Submissions.end(), [&](const auto &Other) {
          return Other.Ticket.Number == Item.Ticket.Number &&
                 Other.Ticket.Digest == Item.Ticket.Digest;
        });
    if (SameSubmissions == 1 && isAccepted(Item.Ticket))
      report(Item.Ticket.Number, "answered as not accepted but accepted");
  }

  void checkCallOrder() {
    for (const Submission &Before : Run.Submissions)
      for (const Submission &After : Run.Submissions) {
        if (!Before.Response || Before.Returned >= After.Invoked ||
            Before.Response->Status != TicketStatus::Accepted ||
            isRepeat(After) || !isAccepted(After.Ticket))
          continue;
        if (find(After.Ticket.Number)->Revision <= Before.Response->Revision)
          report(After.Ticket.Number,
                 "ordered before a ticket with an earlier response");
      }
  }

  [[nodiscard]] bool isRepeat(const Submission &Item) const {
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
          "vm " + Item.Vm + " revision " + std::to_string(Item.Revision) + ": ";
      if (Item.Revision < Last[Item.Vm])
        Violations.push_back(Name + "older than the previous revision");
      Last[Item.Vm] = Item.Revision;
      if (Item.Revision >= States.size() || Item.State != States[Item.Revision])
        Violations.push_back(Name + "not the state of the accepted tickets");
    }
  }
};

} // namespace

std::vector<std::string> checkHistory(const History &Run) {
  return Checker(Run).check();
}

} // namespace jujubecart::tests
