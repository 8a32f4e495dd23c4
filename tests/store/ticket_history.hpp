#ifndef JUJUBECART_TESTS_STORE_TICKET_HISTORY_HPP
#define JUJUBECART_TESTS_STORE_TICKET_HISTORY_HPP

#include <jujubecart/store/ticket_processor.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubecart::tests {

/// @brief Content of a ticket; the configuration of a service is represented by
/// one number.
struct HistoryTicket {
  std::uint64_t Number = 0;
  core::Revision BasedOn = 0;
  /// New state of each service, nothing if it is removed.
  std::map<std::string, std::optional<std::uint32_t>> Services;
  std::string Digest;
};

/// @brief One submission by an operator.
struct Submission {
  HistoryTicket Ticket;
  /// Nothing if the operator's process was killed before the response.
  std::optional<store::TicketResult> Response;
  /// Positions of the call and its response in the order of all events.
  std::uint64_t Invoked = 0;
  std::uint64_t Returned = 0;
};

/// @brief A configuration that was applied on a VM.
struct Observation {
  std::string Vm;
  core::Revision Revision = 0;
  std::map<std::string, std::uint32_t> State;
};

/// @brief Everything that operators and VMs saw in one run.
struct History {
  std::vector<Submission> Submissions;
  /// In the order in which they were applied.
  std::vector<Observation> Observations;
  /// Tickets that the store holds as accepted at the end.
  std::vector<store::AcceptedTicket> Accepted;
};

/// @brief Checks that the accepted tickets form one order without lost updates,
/// that the responses and the times of the calls agree with this order, and
/// that each VM applies only states of this order and never goes back.
/// @return One line per violation.
[[nodiscard]] std::vector<std::string> checkHistory(const History &Run);

} // namespace jujubecart::tests

#endif
