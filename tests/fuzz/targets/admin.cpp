#include <config/config.h>
#include <tests/fuzz/FuzzInput.h>

using namespace Greengage;

namespace {

/// Requires that a value that was decoded encodes to the same text before and after another round trip.
template <typename Encode, typename Decode>
void requireStableEncoding(const std::string& text, Encode encode, Decode decode)
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
    auto text = inputText(data, size);
    requireStableEncoding(text, DocumentCodec::encode, DocumentCodec::decode);
    requireStableEncoding(text, AdminCodec::encodeSubmission, AdminCodec::decodeSubmission);
    requireStableEncoding(text, AdminCodec::encodeAnswer, AdminCodec::decodeAnswer);
    requireStableEncoding(text, AdminCodec::encodeConflicts, AdminCodec::decodeConflicts);
    requireStableEncoding(text, AdminCodec::encodeErrors, AdminCodec::decodeErrors);
    requireStableEncoding(text, StatusCodec::encode, StatusCodec::decode);
    auto submission = AdminCodec::decodeSubmission(text);
    if (submission.has_value())
        DocumentAcceptance::evaluate({}, {}, submission.value(), 0);
    return 0;
}
