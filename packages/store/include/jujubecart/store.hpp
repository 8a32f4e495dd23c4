#ifndef JUJUBECART_STORE_HPP
#define JUJUBECART_STORE_HPP

#include <jujubecart/store/claim_log.hpp>
#include <jujubecart/store/config_head.hpp>
#include <jujubecart/store/config_reader.hpp>
#include <jujubecart/store/directory.hpp>
#include <jujubecart/store/directory_feed.hpp>
#include <jujubecart/store/http_key_value_store.hpp>
#include <jujubecart/store/store_connections.hpp>
#include <jujubecart/store/ticket.hpp>
#include <jujubecart/store/ticket_processor.hpp>
#include <jujubecart/store/ticket_result.hpp>

#endif
