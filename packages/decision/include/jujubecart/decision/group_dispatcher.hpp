#ifndef JUJUBECART_DECISION_GROUP_DISPATCHER_HPP
#define JUJUBECART_DECISION_GROUP_DISPATCHER_HPP

#include <jujubecart/decision/dispatcher.hpp>

namespace jujubecart::decision {

/// @brief Dispatcher for short calls: late binding to servers with a free
/// slot or a short queue, chosen by exact numbers of calls.
class GroupDispatcher final : public Dispatcher {
public:
  /// @brief Creates a dispatcher whose servers are all active.
  GroupDispatcher(DispatchGroup Group, DispatcherOptions Options,
                  core::TimePoint Now);
  GroupDispatcher(GroupDispatcher &&) noexcept;
  GroupDispatcher &operator=(GroupDispatcher &&) noexcept;
  ~GroupDispatcher() override;

  void configure(DispatchGroup Group, core::TimePoint Now,
                 Decisions &Out) override;
  void enqueue(PendingCall Call, core::TimePoint Now, Decisions &Out) override;
  bool withdraw(CallToken Token, core::TimePoint Now, Decisions &Out) override;
  void release(std::uint64_t GrantId, const core::CallReport &Report,
               core::TimePoint Now, Decisions &Out) override;
  void adopt(std::string Holder, std::string ServerId, std::uint32_t InFlight,
             core::TimePoint Now) override;
  void releaseAdopted(std::string Holder, std::string ServerId,
                      const core::CallReport &Report, core::TimePoint Now,
                      Decisions &Out) override;
  void dropHolder(std::string_view Holder, core::TimePoint Now,
                  Decisions &Out) override;
  void tick(core::TimePoint Now, Decisions &Out) override;
  [[nodiscard]] core::TimePoint nextTick() const override;
  [[nodiscard]] std::optional<core::BackendServer>
  nextProbe(core::TimePoint Now) override;
  void probeResult(std::string_view ServerId, ProbeResult Result,
                   core::TimePoint Now, Decisions &Out) override;
  [[nodiscard]] std::vector<ServerStatus>
  status(core::TimePoint Now) const override;
  [[nodiscard]] std::size_t queued() const noexcept override;

  /// @brief Servers compared by all picks so far.
  [[nodiscard]] std::uint64_t comparedServers() const noexcept;

private:
  class Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace jujubecart::decision

#endif
