#ifndef JUJUBECART_CORE_HPP
#define JUJUBECART_CORE_HPP

#include <jujubecart/core/awaitable.hpp>
#include <jujubecart/core/clock.hpp>
#include <jujubecart/core/config.hpp>
#include <jujubecart/core/config_json.hpp>
#include <jujubecart/core/config_snapshot.hpp>
#include <jujubecart/core/config_source.hpp>
#include <jujubecart/core/config_table.hpp>
#include <jujubecart/core/directory_codec.hpp>
#include <jujubecart/core/duration_text.hpp>
#include <jujubecart/core/entry_store.hpp>
#include <jujubecart/core/error.hpp>
#include <jujubecart/core/event_ring.hpp>
#include <jujubecart/core/event_sink.hpp>
#include <jujubecart/core/findings.hpp>
#include <jujubecart/core/hash.hpp>
#include <jujubecart/core/hybrid_clock.hpp>
#include <jujubecart/core/json_reader.hpp>
#include <jujubecart/core/key_value_store.hpp>
#include <jujubecart/core/load_report.hpp>
#include <jujubecart/core/log.hpp>
#include <jujubecart/core/member.hpp>
#include <jujubecart/core/metrics.hpp>
#include <jujubecart/core/order_claims.hpp>
#include <jujubecart/core/rate_limit.hpp>
#include <jujubecart/core/request_id.hpp>
#include <jujubecart/core/routing_table.hpp>
#include <jujubecart/core/sleeper.hpp>
#include <jujubecart/core/slot_broker.hpp>

#endif
