/// @file
/// Conversion between the structs of peer.h and the generated protobuf messages.
#pragma once

#include "peer.pb.h"

#include <pollenspoke/peer.h>

namespace Pollenspoke {

namespace Wire = ::pollenspoke::peer;

Wire::News encode(const PeerNews &news);
Wire::PingAnswer encode(const PingAnswer &answer);
Wire::RelayRequest encode(const RelayRequest &request);
Wire::RelayAnswer encode(const RelayAnswer &answer);
Wire::LoanRequest encode(const LoanAsk &ask);
Wire::LoanAnswer encode(const LoanAnswer &answer);
Wire::HealthReport encode(const HealthReport &report);
Wire::HealthAnswer encode(const HealthAnswer &answer);

// Return nothing if a field is missing or out of range.
std::optional<PeerNews> decode(const Wire::News &wire);
std::optional<PingAnswer> decode(const Wire::PingAnswer &wire);
std::optional<RelayRequest> decode(const Wire::RelayRequest &wire);
std::optional<RelayAnswer> decode(const Wire::RelayAnswer &wire);
std::optional<LoanAsk> decode(const Wire::LoanRequest &wire);
std::optional<LoanAnswer> decode(const Wire::LoanAnswer &wire);
std::optional<HealthReport> decode(const Wire::HealthReport &wire);
std::optional<HealthAnswer> decode(const Wire::HealthAnswer &wire);

} // namespace Pollenspoke
