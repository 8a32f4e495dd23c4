#ifndef JUJUBECART_DECISION_FWD_HPP
#define JUJUBECART_DECISION_FWD_HPP

namespace jujubecart::decision {

class DecayedRate;
class Dispatcher;
class GroupDispatcher;
namespace internal {
class CallQueue;
class ProbeSchedule;
class HealthTracker;
class ServerTable;
} // namespace internal
class KnownVms;
class LeastReportedLoad;
class LocalBroker;
class ObjectiveDispatcher;
class LocalPolicy;
class PowerOfTwoChoices;
class RandomChoice;
class RetryBudget;
class RoundRobin;
class SlidingUse;
class TokenBucket;
class WorkspaceQuotas;

struct CallPreview;
struct DispatchGroup;
struct DispatcherOptions;
struct Granted;
struct PendingCall;
struct ProbeResult;
struct QuotaRule;
struct Rejected;
struct ServerPreview;
struct ServerStatus;

} // namespace jujubecart::decision

#endif
