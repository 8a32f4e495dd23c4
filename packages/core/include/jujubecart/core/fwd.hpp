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
class EventRing;
class EventSink;
class Findings;
class JsonReader;
class KeyValueStore;
class MemberSource;
class MetricsRegistry;
class OrderClaims;
class Sleeper;
class SlotBroker;
class SystemClock;
class SystemSleeper;

struct BackendRequest;
struct BackendServer;
struct CallReport;
struct Event;
struct TimedEvent;
struct Finding;
struct Member;
struct OrderKey;
struct RequestId;
struct RouteRule;
struct ServiceConfig;
struct SlotGrant;
struct SlotRequest;
struct VersionedValue;

} // namespace jujubecart::core

#endif
