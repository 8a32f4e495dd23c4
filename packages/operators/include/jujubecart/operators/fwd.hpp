#ifndef JUJUBECART_OPERATORS_FWD_HPP
#define JUJUBECART_OPERATORS_FWD_HPP

namespace jujubecart::operators {

class Api;
class Client;
class Server;
class SettingsFile;

struct ExplainQuery;
struct Response;
struct TimelineQuery;
struct Settings;

} // namespace jujubecart::operators

#endif
