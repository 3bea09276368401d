#include <config/json/JsonText.h>
#include <fleet/peers/PeerState.h>
#include <mesh/MeshError.h>
#include <mesh/codec/PeerStateCodec.h>
#include <mesh/rpc/ReplyParser.h>
#include <mesh/rpc/RpcReply.h>
#include <tests/fuzz/FuzzInput.h>

using namespace Greengage;

/// Parses lines from a peer daemon: replies, and the peer states that requests and replies contain. A decoded state
/// must survive encoding.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    auto text = inputText(data, size);
    auto reply = parseReply(text);
    auto json = parseJson(text);
    if (json.has_error())
        return 0;
    auto state = PeerStateCodec::fromJson(json.value());
    if (!state.has_value())
        return 0;
    auto again = PeerStateCodec::fromJson(PeerStateCodec::toJson(state.value()));
    requireProperty(again.has_value());
    requireProperty(PeerStateCodec::toJson(again.value()) == PeerStateCodec::toJson(state.value()));
    return 0;
}
