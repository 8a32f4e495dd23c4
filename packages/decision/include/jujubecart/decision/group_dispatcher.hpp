#ifndef JUJUBECART_DECISION_GROUP_DISPATCHER_HPP
#define JUJUBECART_DECISION_GROUP_DISPATCHER_HPP

#include <jujubecart/decision/dispatcher.hpp>

namespace jujubecart::decision {

/// @brief Dispatcher for short calls. A call waits at the dispatcher until a
/// server has a free slot or a short queue; the choice uses the exact number of
/// calls in flight on each server.
class GroupDispatcher final : public Dispatcher {
public:
  /// @brief Creates a dispatcher. The initial servers get their full limit at
  /// once; servers that configure adds later go through a slow start.
  GroupDispatcher(DispatchGroup Group, const DispatcherOptions &Options,
                  core::TimePoint Now);
  GroupDispatcher(GroupDispatcher &&) noexcept;
  GroupDispatcher &operator=(GroupDispatcher &&) noexcept;
  ~GroupDispatcher() override;

  void configure(DispatchGroup Group, core::TimePoint Now,
                 Decisions &Out) override;
  void setRegular(bool Regular, core::TimePoint Now) override;
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
  void recordProbe(std::string_view ServerId, ProbeResult Result,
                   core::TimePoint Now, Decisions &Out) override;
  [[nodiscard]] std::vector<ServerStatus>
  status(core::TimePoint Now) const override;
  [[nodiscard]] CallPreview preview(PendingCall Call,
                                    core::TimePoint Now) const override;
  [[nodiscard]] std::size_t queued() const noexcept override;

  /// @brief Total number of servers that were compared to choose one for a
  /// call; a measure of CPU cost.
  [[nodiscard]] std::uint64_t comparedServers() const noexcept;

private:
  class Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace jujubecart::decision

#endif
