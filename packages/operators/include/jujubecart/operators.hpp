#ifndef JUJUBECART_OPERATORS_HPP
#define JUJUBECART_OPERATORS_HPP

#include <jujubecart/operators/api.hpp>
#include <jujubecart/operators/client.hpp>
#include <jujubecart/operators/explain_query.hpp>
#include <jujubecart/operators/server.hpp>
#include <jujubecart/operators/settings.hpp>
#include <jujubecart/operators/settings_reader.hpp>
#include <jujubecart/operators/tls_files.hpp>

#endif
