#pragma once

#include <config/model/Document.h>

#include <cstdint>
#include <memory>

namespace Greengage {

/// A document of one service with the endpoints e0, e1 and so on, and of teams t0, t1 and so on, each with a key k0, k1
/// and so on, the queue q0, q1 and so on, the same share and the same limit.
std::shared_ptr<Document> makeSampleDocument(std::uint64_t revision, int teams, int limit, int endpoints);

} // namespace Greengage
