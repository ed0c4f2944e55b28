#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>

namespace endivetrestle {

// Identifier of one kind. Distinct tags make identifiers of different kinds distinct types, so that a caller's
// identifier cannot be passed where an endpoint's is expected.
template <typename Tag> struct Identifier {
    std::string value;

    Identifier() = default;
    explicit Identifier(std::string text)
        : value(std::move(text))
    {
    }

    // clang-tidy 14 takes the zero in the code that the compiler generates for a null pointer.
    auto operator<=>(const Identifier&) const = default; // NOLINT(modernize-use-nullptr)
    [[nodiscard]] bool empty() const { return this->value.empty(); }
};

template <typename Tag> std::ostream& operator<<(std::ostream& stream, const Identifier<Tag>& identifier)
{
    return stream << identifier.value;
}

// A member of a database group.
using EndpointId = Identifier<struct EndpointTag>;
// A process of the proxy.
using DaemonId = Identifier<struct DaemonTag>;
// A client application, as declared in the configuration.
using CallerId = Identifier<struct CallerTag>;
// A database group.
using DatabaseId = Identifier<struct DatabaseTag>;
// One request of one caller. Unique per caller.
using RequestId = Identifier<struct RequestTag>;
// One open transaction.
using TransactionId = Identifier<struct TransactionTag>;
// A data centre.
using DataCentre = Identifier<struct DataCentreTag>;
// A customer of the operators, whose clients share endpoints with those of other customers. Empty: none.
using WorkspaceId = Identifier<struct WorkspaceTag>;
// A region, made up of data centres.
using Region = Identifier<struct RegionTag>;
// A plan made from an operator's intent.
using PlanId = Identifier<struct PlanTag>;

} // namespace endivetrestle

template <typename Tag> struct std::hash<endivetrestle::Identifier<Tag>> {
    std::size_t operator()(const endivetrestle::Identifier<Tag>& identifier) const noexcept
    {
        return std::hash<std::string>()(identifier.value);
    }
};
