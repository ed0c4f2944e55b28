#include "edge/json_http_internal.h"

#include <kj/debug.h>

#include <utility>

namespace endivetrestle::internal {

namespace {

HeaderNames makeHeaderNames()
{
    kj::HttpHeaderTable::Builder builder;
    HeaderNames names;
    names.daemon = builder.add("Endivetrestle-Daemon");
    names.dataCentre = builder.add("Endivetrestle-Data-Centre");
    names.table = builder.build();
    return names;
}

kj::Promise<BodyText> readExactly(kj::AsyncInputStream& body, std::size_t size)
{
    auto buffer = kj::heap<std::string>(size, '\0');
    auto& text = *buffer;
    return body.tryRead(text.data(), size, size).then([buffer = kj::mv(buffer), size](std::size_t got) mutable {
        if (got < size)
            kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "body ended early"));
        return BodyText(std::move(*buffer));
    });
}

} // namespace

const HeaderNames& headerNames()
{
    static const HeaderNames names = makeHeaderNames();
    return names;
}

kj::Promise<BodyText> readBody(kj::AsyncInputStream& body, std::size_t limit)
{
    KJ_IF_MAYBE (length, body.tryGetLength()) {
        if (*length > limit)
            return BodyText();
        if (*length == 0)
            return BodyText(std::string());
        return readExactly(body, *length);
    }
    return body.readAllBytes(limit + 1).then(
        [limit](kj::Array<kj::byte> bytes) {
            if (bytes.size() > limit)
                return BodyText();
            return BodyText(std::string(bytes.asChars().begin(), bytes.size()));
        },
        [](kj::Exception&& exception) {
            if (exception.getType() == kj::Exception::Type::DISCONNECTED)
                kj::throwFatalException(kj::mv(exception));
            return BodyText();
        });
}

std::string describe(const kj::Exception& exception) { return exception.getDescription().cStr(); }

} // namespace endivetrestle::internal
