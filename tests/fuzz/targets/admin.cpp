#include <config/config.h>
#include <tests/fuzz/FuzzInput.h>

using namespace Greengage;

namespace {

/// Whatever is decoded gives the same text when it is encoded, decoded and encoded again.
template <typename Encode, typename Decode> void requireStable(const std::string& text, Encode encode, Decode decode)
{
    auto decoded = decode(text);
    if (decoded.has_error())
        return;
    auto encoded = encode(decoded.value());
    auto again = decode(encoded);
    requireProperty(again.has_value() && encode(again.value()) == encoded);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    auto text = fuzzText(data, size);
    requireStable(text, DocumentCodec::encode, DocumentCodec::decode);
    requireStable(text, AdminCodec::encodeSubmission, AdminCodec::decodeSubmission);
    requireStable(text, AdminCodec::encodeAnswer, AdminCodec::decodeAnswer);
    requireStable(text, AdminCodec::encodeConflicts, AdminCodec::decodeConflicts);
    requireStable(text, AdminCodec::encodeErrors, AdminCodec::decodeErrors);
    requireStable(text, StatusCodec::encode, StatusCodec::decode);
    auto submission = AdminCodec::decodeSubmission(text);
    if (submission.has_value())
        DocumentAcceptance::judge({}, {}, submission.value(), 0);
    return 0;
}
