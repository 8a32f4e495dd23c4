#ifndef JUJUBECART_DEV_FAKE_BACKENDS_FWD_HPP
#define JUJUBECART_DEV_FAKE_BACKENDS_FWD_HPP

namespace jujubecart::dev {

class Connection;
class Control;
class RunRecord;
class Server;

struct Job;
struct ServerOptions;

} // namespace jujubecart::dev

#endif
