#ifndef JUJUBECART_CALLERS_HPP
#define JUJUBECART_CALLERS_HPP

#include <jujubecart/callers/server.hpp>
#include <jujubecart/callers/server_counters.hpp>
#include <jujubecart/callers/server_options.hpp>
#include <jujubecart/callers/stop_schedule.hpp>

#endif
