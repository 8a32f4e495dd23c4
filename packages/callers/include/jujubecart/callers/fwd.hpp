#ifndef JUJUBECART_CALLERS_FWD_HPP
#define JUJUBECART_CALLERS_FWD_HPP

namespace jujubecart::callers {

class Server;

struct CutOffRequest;
struct ServerCounters;
struct ServerDependencies;
struct ServerOptions;
struct StopReport;
struct StopSchedule;

} // namespace jujubecart::callers

#endif
