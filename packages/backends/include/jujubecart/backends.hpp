#ifndef JUJUBECART_BACKENDS_HPP
#define JUJUBECART_BACKENDS_HPP

#include <jujubecart/backends/connection.hpp>
#include <jujubecart/backends/connection_pool.hpp>
#include <jujubecart/backends/pool_options.hpp>
#include <jujubecart/backends/transport.hpp>

#endif
