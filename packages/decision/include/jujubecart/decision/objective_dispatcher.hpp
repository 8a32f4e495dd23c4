#ifndef JUJUBECART_DECISION_OBJECTIVE_DISPATCHER_HPP
#define JUJUBECART_DECISION_OBJECTIVE_DISPATCHER_HPP

#include <jujubecart/decision/dispatcher.hpp>

namespace jujubecart::decision {

/// @brief Dispatcher for services whose service times are much longer than
/// network delays. It estimates the probability that a call meets its latency
/// objective, and uses it to choose the server, to decide whether the call
/// waits for a better one, and to reject calls.
class ObjectiveDispatcher final : public Dispatcher {
public:
  /// @brief Creates a dispatcher whose servers are all active at once, without
  /// slow start.
  ObjectiveDispatcher(DispatchGroup Group, const DispatcherOptions &Options,
                      core::TimePoint Now);
  ObjectiveDispatcher(const ObjectiveDispatcher &) = delete;
  ObjectiveDispatcher &operator=(const ObjectiveDispatcher &) = delete;
  ~ObjectiveDispatcher() override;

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

private:
  class Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace jujubecart::decision

#endif
