#include "process/gossip.h"

#include "base/json_identifier.h"

#define XXH_INLINE_ALL
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <charconv>

namespace endivetrestle {

namespace {

using nlohmann::json;

constexpr std::size_t digestLimit = 64;
// An entry takes at least 30 bytes, so no more of them fit into a message.
constexpr std::size_t maxEntries = 40;
constexpr std::size_t hexDigitsPerBucket = 4;
constexpr std::size_t maxHashDigits = 64;

// Members of a message. Short names leave room for entries.
constexpr const char* versionKey = "c";
constexpr const char* digestKey = "d";
constexpr const char* entriesKey = "m";
constexpr const char* inForceKey = "f";

std::uint64_t hashOf(const DaemonId& id) { return XXH3_64bits(id.value.data(), id.value.size()); }

// Returns the hash that an entry adds to its bucket. Suspected and dead daemons are left out, because each daemon
// decides on these states by itself, and digests would differ for minutes after a failure.
std::uint16_t contributionOf(const DaemonInfo& info)
{
    if (info.state == DaemonState::Suspected || info.state == DaemonState::Dead)
        return 0;
    const auto leaving = info.state == DaemonState::Leaving ? 1U : 0U;
    const auto seed = info.incarnation * 2 + leaving;
    return static_cast<std::uint16_t>(XXH3_64bits_withSeed(info.id.value.data(), info.id.value.size(), seed) >> 48U);
}

json toJson(const DaemonInfo& info)
{
    return json::array({ info.id.value, toString(info.peersAddress), info.dataCentre.value, info.region.value,
        info.incarnation, static_cast<int>(info.state) });
}

bool isEntry(const json& value)
{
    if (!value.is_array() || value.size() < 6)
        return false;
    const auto isText = [](const json& part) { return part.is_string(); };
    const bool hasTexts = std::all_of(value.begin(), value.begin() + 4, isText);
    return hasTexts && value[4].is_number_unsigned() && value[5].is_number_unsigned()
        && value[5].get<std::uint64_t>() <= static_cast<std::uint64_t>(DaemonState::Dead);
}

std::optional<DaemonInfo> parseEntry(const json& value)
{
    if (!isEntry(value))
        return std::nullopt;
    const auto address = parseSocketAddress(value[1].get_ref<const std::string&>());
    DaemonInfo info { DaemonId(value[0].get<std::string>()), address.value_or(SocketAddress()),
        DataCentre(value[2].get<std::string>()), Region(value[3].get<std::string>()), value[4].get<std::uint64_t>(),
        static_cast<DaemonState>(value[5].get<int>()) };
    const bool hasNames
        = isIdentifier(info.id.value) && isIdentifier(info.dataCentre.value) && isIdentifier(info.region.value);
    return address && hasNames ? std::optional(std::move(info)) : std::nullopt;
}

std::string hexOf(const auto& digest)
{
    std::string text;
    constexpr std::string_view digits = "0123456789abcdef";
    for (const auto bucket : digest)
        for (int shift = 12; shift >= 0; shift -= 4)
            text += digits[(static_cast<unsigned>(bucket) >> static_cast<unsigned>(shift)) & 15U];
    return text;
}

// Member of an object, or null.
const json& memberOf(const json& object, const char* key)
{
    static const json null;
    const auto found = object.find(key);
    return found == object.end() ? null : *found;
}

// Adds values to a list while the message stays within its limit.
class BoundedMessage {
public:
    BoundedMessage(json base, std::size_t limit)
        : message(std::move(base))
        , size(message.dump().size())
        , limit(limit)
    {
    }

    bool append(const char* list, json value)
    {
        const auto added = value.dump().size() + 1;
        if (this->size + added > this->limit)
            return false;
        this->size += added;
        this->message[list].push_back(std::move(value));
        return true;
    }

    [[nodiscard]] std::string text() const { return this->message.dump(); }

private:
    json message;
    std::size_t size;
    std::size_t limit;
};

} // namespace

Gossip::Gossip(Membership& membership, GossipSettings settings, RandomSource random)
    : membership(membership)
    , settings(settings)
    , random(std::move(random))
{
}

std::vector<DaemonInfo> Gossip::round()
{
    ++this->rounds;
    return this->choosePeers(this->settings.fanout, this->rounds % this->settings.deadRetryRounds == 0);
}

std::vector<DaemonInfo> Gossip::announce(std::uint64_t newVersion, const std::string& newHash)
{
    this->version = newVersion;
    this->hash = newHash;
    return this->choosePeers(this->settings.pushFanout, false);
}

DaemonInfo Gossip::takeRandom(Candidates& candidates)
{
    std::swap(candidates[this->random(candidates.size())], candidates.back());
    const auto* taken = candidates.back();
    candidates.pop_back();
    return *taken;
}

std::vector<DaemonInfo> Gossip::choosePeers(std::size_t count, bool retryDead)
{
    const auto self = this->membership.self();
    // Candidates of the own data centre, the own region and other regions, and daemons that do not answer.
    std::array<Candidates, 4> groups;
    this->membership.forEach([&](const DaemonInfo& info) {
        if (info.id == self.id)
            return;
        const bool isUnresponsive = info.state == DaemonState::Suspected || info.state == DaemonState::Dead;
        const std::size_t distance = info.dataCentre == self.dataCentre ? 0 : info.region == self.region ? 1 : 2;
        groups[isUnresponsive ? 3 : distance].push_back(&info);
    });
    std::vector<DaemonInfo> chosen;
    const auto reachable = groups[0].size() + groups[1].size() + groups[2].size();
    // If there is no other daemon, one that did not answer is tried.
    if (!groups[3].empty() && (retryDead || reachable == 0))
        chosen.push_back(this->takeRandom(groups[3]));
    while (chosen.size() < std::min(count, reachable)) {
        // Half of the exchanges leave the data centre but not the region, a quarter leave the region.
        constexpr std::array<std::size_t, 4> groupOfDraw { 0, 1, 1, 2 };
        auto& group = groups[groupOfDraw[this->random(groupOfDraw.size())]];
        if (!group.empty())
            chosen.push_back(this->takeRandom(group));
    }
    return chosen;
}

int Gossip::maxSends() const
{
    // A number logarithmic in the fleet size reaches all daemons with high probability; the digests repair the rest.
    return 3 * static_cast<int>(std::bit_width(this->membership.size()));
}

void Gossip::applyMembershipChanges()
{
    const auto self = this->membership.self().id;
    for (const auto& delta : this->membership.deltasSince(this->appliedSequence, SIZE_MAX)) {
        const auto& info = delta.info;
        auto& contribution = this->contributions[info.id];
        auto& bucket = this->digest[hashOf(info.id) % bucketCount];
        bucket = static_cast<std::uint16_t>(bucket ^ contribution ^ contributionOf(info));
        contribution = contributionOf(info);
        // The own entry is part of every message, and every daemon has the entries that come only from the live list.
        const bool isListed = info.incarnation == 0 && info.state == DaemonState::Alive;
        if (info.id != self && !isListed)
            this->pendingUpdates[info.id] = { delta.sequence, 0 };
    }
    this->appliedSequence = this->membership.sequence();
    if (this->contributions.size() > 2 * this->membership.size())
        std::erase_if(this->contributions, [](const auto& entry) { return entry.second == 0; });
}

void Gossip::appendPendingUpdates(std::vector<DaemonInfo>& entries) const
{
    using Item = std::map<DaemonId, PendingUpdate>::const_pointer;
    std::vector<Item> ordered;
    for (const auto& item : this->pendingUpdates)
        ordered.push_back(&item);
    const auto isMoreUrgent = [](Item left, Item right) {
        const bool sameCount = left->second.timesSent == right->second.timesSent;
        return sameCount ? left->second.sequence > right->second.sequence
                         : left->second.timesSent < right->second.timesSent;
    };
    const auto count = std::min(ordered.size(), maxEntries);
    std::partial_sort(
        ordered.begin(), ordered.begin() + static_cast<std::ptrdiff_t>(count), ordered.end(), isMoreUrgent);
    ordered.resize(count);
    for (const auto* item : ordered)
        if (const auto info = this->membership.find(item->first); info)
            entries.push_back(*info);
}

void Gossip::appendDifferingEntries(const DaemonId& peer, std::vector<DaemonInfo>& entries)
{
    const auto found = this->peerDigests.find(peer);
    if (found == this->peerDigests.end())
        return;
    Candidates differing;
    this->membership.forEach([&](const DaemonInfo& info) {
        const auto bucket = hashOf(info.id) % bucketCount;
        const bool isInDigest = contributionOf(info) != 0;
        if (isInDigest && found->second[bucket] != this->digest[bucket] && !this->pendingUpdates.contains(info.id))
            differing.push_back(&info);
    });
    this->peerDigests.erase(found);
    // Continues after the entry that was sent last, so that every entry is sent in turn.
    const auto isSent = [this](const DaemonInfo* info) { return info->id <= this->digestSyncCursor; };
    std::rotate(differing.begin(), std::partition_point(differing.begin(), differing.end(), isSent), differing.end());
    for (const auto* info : differing)
        if (entries.size() < maxEntries)
            entries.push_back(*info);
}

std::vector<DaemonInfo> Gossip::entriesFor(const DaemonId& peer)
{
    std::vector<DaemonInfo> entries { this->membership.self() };
    // A suspected or dead peer is told immediately, so that it can refute the suspicion.
    if (const auto info = this->membership.find(peer); info && contributionOf(*info) == 0)
        entries.push_back(*info);
    this->appendPendingUpdates(entries);
    this->appendDifferingEntries(peer, entries);
    return entries;
}

void Gossip::recordSent(const DaemonInfo& info)
{
    const auto found = this->pendingUpdates.find(info.id);
    if (found == this->pendingUpdates.end()) {
        this->digestSyncCursor = info.id;
        return;
    }
    ++found->second.timesSent;
    if (found->second.timesSent >= this->maxSends())
        this->pendingUpdates.erase(found);
}

std::vector<DaemonId> Gossip::daemonsWithVersionInForce()
{
    std::vector<DaemonId> daemons;
    for (const auto& [id, reported] : this->inForce)
        if (reported == this->version)
            daemons.push_back(id);
    if (!daemons.empty()) {
        const auto offset = static_cast<std::ptrdiff_t>(this->random(daemons.size()));
        std::rotate(daemons.begin(), daemons.begin() + offset, daemons.end());
    }
    return daemons;
}

std::string Gossip::message(const DaemonId& peer)
{
    this->applyMembershipChanges();
    json base { { digestKey, hexOf(this->digest) }, { entriesKey, json::array() } };
    if (this->version > 0) {
        base[versionKey] = json::array({ this->version, this->hash });
        base[inForceKey] = json::array();
    }
    const auto self = this->membership.self().id;
    BoundedMessage message(std::move(base), this->settings.maxBytes);
    for (const auto& info : this->entriesFor(peer)) {
        if (!message.append(entriesKey, toJson(info)))
            break;
        if (info.id != self)
            this->recordSent(info);
    }
    if (this->version > 0)
        for (const auto& id : this->daemonsWithVersionInForce())
            if (!message.append(inForceKey, id.value))
                break;
    return message.text();
}

void Gossip::storePeerDigest(const DaemonId& from, const json& text)
{
    if (!text.is_string() || text.get_ref<const std::string&>().size() != bucketCount * hexDigitsPerBucket)
        return;
    const auto& digits = text.get_ref<const std::string&>();
    Digest parsed {};
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        const auto* first = digits.data() + bucket * hexDigitsPerBucket;
        if (std::from_chars(first, first + hexDigitsPerBucket, parsed[bucket], 16).ptr != first + hexDigitsPerBucket)
            return;
    }
    if (this->peerDigests.size() >= digestLimit)
        this->peerDigests.erase(this->peerDigests.begin());
    this->peerDigests[from] = parsed;
}

void Gossip::parseInForce(const DaemonId& from, const json& value, GossipReceived& received)
{
    received.inForce.emplace_back(from, received.hint->version);
    if (value.is_array()) {
        for (const auto& id : value)
            if (id.is_string() && isIdentifier(id.get_ref<const std::string&>()))
                received.inForce.emplace_back(DaemonId(id.get<std::string>()), received.hint->version);
    }
    if (this->inForce.size() > this->membership.size())
        std::erase_if(this->inForce, [this](const auto& entry) { return !this->membership.find(entry.first); });
    const auto self = this->membership.self().id;
    std::erase_if(received.inForce, [&](const auto& entry) { return entry.first == self; });
    for (const auto& [id, reported] : received.inForce) {
        auto& known = this->inForce[id];
        known = id == from ? reported : std::max(known, reported);
    }
}

std::optional<GossipReceived> Gossip::receive(Time now, const DaemonId& from, std::string_view text)
{
    if (text.size() > this->settings.maxBytes)
        return std::nullopt;
    const auto message = json::parse(text, nullptr, false);
    if (!message.is_object())
        return std::nullopt;
    GossipReceived received;
    const auto& stated = memberOf(message, versionKey);
    const bool hasVersion = stated.is_array() && stated.size() >= 2 && stated[0].is_number_unsigned()
        && stated[1].is_string() && stated[1].get_ref<const std::string&>().size() <= maxHashDigits;
    if (hasVersion) {
        received.hint = VersionHint { stated[0].get<std::uint64_t>(), stated[1].get<std::string>(), from };
        this->parseInForce(from, memberOf(message, inForceKey), received);
    }
    const auto& entries = memberOf(message, entriesKey);
    if (entries.is_array()) {
        for (const auto& entry : entries)
            if (const auto info = parseEntry(entry); info && this->membership.merge(now, *info))
                ++received.changes;
    }
    this->storePeerDigest(from, memberOf(message, digestKey));
    return received;
}

} // namespace endivetrestle
