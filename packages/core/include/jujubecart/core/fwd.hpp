#ifndef JUJUBECART_CORE_FWD_HPP
#define JUJUBECART_CORE_FWD_HPP

namespace jujubecart::core {

class BackendExchange;
class BackendTransport;
class ByteSource;
class Clock;
class ConfigSnapshot;
class ConfigSource;
class ConfigTable;
class DirectoryCodec;
class EntryStore;
class EventRing;
class EventSink;
class Findings;
class HttpProfile;
class JsonReader;
class KeyValueStore;
class MemberSource;
class MetricsRegistry;
class OrderClaims;
class RoutingTable;
class Sleeper;
class SlotBroker;
class SystemClock;
class SystemSleeper;
class WorkspaceTable;

struct BackendRequest;
struct BackendServer;
struct CallReport;
struct CallerLimits;
struct Event;
struct TimedEvent;
struct Finding;
struct LoadReport;
struct Member;
struct OrderKey;
struct RateLimit;
struct RequestId;
struct Route;
struct RouteRule;
struct ServiceConfig;
struct SlotGrant;
struct SlotRequest;
struct VersionedValue;
struct Workspace;
struct WorkspaceQuota;

} // namespace jujubecart::core

#endif
