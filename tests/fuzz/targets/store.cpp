#include <daemon/membership/MemberCodec.h>
#include <daemon/membership/MemberRecord.h>
#include <json/value.h>
#include <store/http/HttpResponse.h>
#include <store/store/StoreAnswers.h>
#include <store/store/StoreEntry.h>
#include <store/store/WatchResult.h>
#include <store/vms/VmRecord.h>
#include <tests/fuzz/FuzzInput.h>

using namespace Greengage;

/// Parses answers of the store and of the VM list, and the member records kept in the store.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    auto text = inputText(data, size);
    auto member = MemberCodec::decode(text);
    if (member.has_value())
        requireProperty(MemberCodec::decode(MemberCodec::encode(member.value())).has_value());
    HttpResponse answer;
    answer.status = 200;
    answer.body = text;
    auto json = StoreAnswers::parse(answer);
    if (json.has_error())
        return 0;
    auto entry = StoreAnswers::toEntry(json.value(), "key");
    auto version = StoreAnswers::toVersion(json.value());
    auto entries = StoreAnswers::toEntries(json.value());
    auto watched = StoreAnswers::toWatchResult(json.value());
    auto lease = StoreAnswers::toLeaseId(json.value());
    auto renewed = StoreAnswers::toRenewed(json.value());
    auto vms = StoreAnswers::toVms(json.value());
    return 0;
}
