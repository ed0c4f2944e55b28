#include "process/settings.h"

#include "base/json_identifier.h"

namespace endivetrestle {

namespace {

constexpr std::int64_t minuteMs = 60000;
constexpr std::int64_t dayMs = 86400000;

// Name of the document that is parsed, and the list to which its problems are added.
struct Source {
    const std::string& name;
    std::vector<JsonProblem>& problems;
};

// Reads one section with the given function and reports its unknown keys.
template <typename Section, typename Read>
void parseSection(
    ObjectReader& parent, const std::string& key, bool required, Source source, Section& section, Read read)
{
    const auto* object = parent.object(key, required);
    if (object == nullptr)
        return;
    ObjectReader reader(*object, source.name, parent.pathOf(key), source.problems);
    read(reader, section);
    reader.reportUnknownKeys();
}

void parseDaemon(ObjectReader& reader, DaemonSettings& daemon)
{
    daemon.id = DaemonId(readIdentifier(reader, "id"));
    daemon.host = reader.text("host");
    daemon.dataCentre = DataCentre(readIdentifier(reader, "dataCentre"));
    daemon.region = Region(readIdentifier(reader, "region"));
}

void parseListenAddress(ObjectReader& reader, SocketAddress& address)
{
    address.ip = reader.text("address");
    if (!address.ip.empty() && !isIpAddress(address.ip))
        reader.report("address", "must be an IPv4 or IPv6 address");
    address.port = static_cast<std::uint16_t>(reader.integer("port", { 0, 65535 }));
}

void parseListen(ObjectReader& reader, ListenSettings& listen, Source source)
{
    parseSection(reader, "callers", true, source, listen.callers, parseListenAddress);
    parseSection(reader, "peers", true, source, listen.peers, parseListenAddress);
    parseSection(reader, "operators", true, source, listen.operators, parseListenAddress);
}

SocketAddress parseService(ObjectReader& reader, const std::string& key)
{
    const auto text = reader.text(key);
    const auto address = parseSocketAddress(text);
    if (!address && !text.empty())
        reader.report(key, "must be an IP address and a port from 1 to 65535, for example 10.0.0.1:7000");
    return address.value_or(SocketAddress());
}

void parsePlatform(ObjectReader& reader, PlatformSettings& platform)
{
    platform.tableService = parseService(reader, "tableService");
    platform.objectStore = parseService(reader, "objectStore");
    platform.liveList = parseService(reader, "liveList");
    platform.connectTimeout = reader.milliseconds("connectTimeoutMs", { 10, minuteMs }, platform.connectTimeout);
    platform.tableTimeout = reader.milliseconds("tableTimeoutMs", { 10, minuteMs }, platform.tableTimeout);
    platform.objectTimeout = reader.milliseconds("objectTimeoutMs", { 10, minuteMs }, platform.objectTimeout);
    platform.liveListTimeout = reader.milliseconds("liveListTimeoutMs", { 10, minuteMs }, platform.liveListTimeout);
}

void parseTokenKeyFiles(ObjectReader& reader, std::vector<std::string>& files)
{
    const auto* list = reader.array("tokenKeyFiles", true);
    if (list == nullptr)
        return;
    bool allStrings = list->size() == 1 || list->size() == 2;
    for (const auto& entry : *list) {
        const bool isNonEmptyString = entry.is_string() && !entry.get_ref<const std::string&>().empty();
        allStrings = allStrings && isNonEmptyString;
        if (isNonEmptyString)
            files.push_back(entry.get<std::string>());
    }
    if (!allStrings)
        reader.report("tokenKeyFiles", "must be a list of one or two file names");
}

void parseSecrets(ObjectReader& reader, SecretFiles& secrets)
{
    secrets.fleetKeyFile = reader.text("fleetKeyFile");
    parseTokenKeyFiles(reader, secrets.tokenKeyFiles);
    secrets.operatorKeyFile = reader.text("operatorKeyFile");
}

std::size_t parseSize(ObjectReader& reader, const std::string& key, NumberRange range, std::size_t fallback)
{
    return static_cast<std::size_t>(reader.integer(key, range, static_cast<std::int64_t>(fallback)));
}

int parseCount(ObjectReader& reader, const std::string& key, NumberRange range, int fallback)
{
    return static_cast<int>(reader.integer(key, range, fallback));
}

void parseLimits(ObjectReader& reader, LimitSettings& limits)
{
    limits.bodyBytes = parseSize(reader, "bodyBytes", { 1024, 16777216 }, limits.bodyBytes);
    limits.queuePerDatabase = parseSize(reader, "queuePerDatabase", { 1, 1000000 }, limits.queuePerDatabase);
    limits.queuePerCaller = parseSize(reader, "queuePerCaller", { 1, 1000000 }, limits.queuePerCaller);
    limits.connectionsPerCaller
        = parseSize(reader, "connectionsPerCaller", { 1, 1000000 }, limits.connectionsPerCaller);
    limits.defaultDeadline = reader.milliseconds("defaultDeadlineMs", { 1, 10 * minuteMs }, limits.defaultDeadline);
    limits.maximumDeadline = reader.milliseconds("maximumDeadlineMs", { 1, 10 * minuteMs }, limits.maximumDeadline);
    limits.transactionIdle = reader.milliseconds("transactionIdleMs", { 100, 10 * minuteMs }, limits.transactionIdle);
    limits.queueDelayTarget = reader.milliseconds("queueDelayTargetMs", { 5, 10000 }, limits.queueDelayTarget);
    limits.tokenLifetime = reader.milliseconds("tokenLifetimeMs", { minuteMs, 30 * dayMs }, limits.tokenLifetime);
    if (limits.queuePerCaller > limits.queuePerDatabase)
        reader.report("queuePerCaller", "must not exceed queuePerDatabase");
    if (limits.defaultDeadline > limits.maximumDeadline)
        reader.report("defaultDeadlineMs", "must not exceed maximumDeadlineMs");
}

void parseEndpoints(ObjectReader& reader, EndpointPolicy& policy)
{
    policy.suspectAfter = reader.milliseconds("suspectAfterMs", { 100, 2000 }, policy.suspectAfter);
    policy.probeInterval = reader.milliseconds("probeIntervalMs", { 10, 1000 }, policy.probeInterval);
    policy.ackDeadline = reader.milliseconds("ackDeadlineMs", { 10, minuteMs }, policy.ackDeadline);
    policy.ackEvidenceMaxAge = reader.milliseconds("ackEvidenceMaxAgeMs", { 10, 2000 }, policy.ackEvidenceMaxAge);
    policy.warmConnections = parseCount(reader, "warmConnections", { 0, 1000 }, policy.warmConnections);
    policy.concurrentOpens = parseCount(reader, "concurrentOpens", { 1, 100 }, policy.concurrentOpens);
    policy.ownersPerDatabase = parseCount(reader, "ownersPerDatabase", { 1, 5 }, policy.ownersPerDatabase);
    // One lost probe must not be enough for a suspicion.
    if (policy.suspectAfter < 2 * policy.probeInterval)
        reader.report("suspectAfterMs", "must be at least twice probeIntervalMs");
}

ReplicaPreference parseReplicaPreference(const std::string& word)
{
    if (word == "nearest")
        return ReplicaPreference::Nearest;
    return word == "leastLoaded" ? ReplicaPreference::LeastLoaded : ReplicaPreference::Fastest;
}

void parseReads(ObjectReader& reader, ReadSettings& reads)
{
    reads.maxReplicaWait = reader.milliseconds("maxReplicaWaitMs", { 0, 10000 }, reads.maxReplicaWait);
    reads.primaryPenalty = reader.milliseconds("primaryPenaltyMs", { 0, 10000 }, reads.primaryPenalty);
    reads.lagWeight = reader.number("lagWeight", 0, 1, reads.lagWeight);
    reads.replicaPreference
        = parseReplicaPreference(reader.oneOf("replicaPreference", { "fastest", "nearest", "leastLoaded" }, "fastest"));
}

void parseGossip(ObjectReader& reader, GossipPolicy& gossip)
{
    gossip.interval = reader.milliseconds("intervalMs", { 50, minuteMs }, gossip.interval);
    gossip.fanout = parseCount(reader, "fanout", { 1, 10 }, gossip.fanout);
    gossip.pushFanout = parseCount(reader, "pushFanout", { 1, 10 }, gossip.pushFanout);
}

void parsePoll(ObjectReader& reader, PollPolicy& poll)
{
    poll.interval = reader.milliseconds("intervalMs", { 100, 60 * minuteMs }, poll.interval);
    poll.jitter = reader.number("jitter", 0, 0.5, poll.jitter);
}

void parseAll(ObjectReader& reader, Settings& settings, Source source)
{
    parseSection(reader, "daemon", true, source, settings.daemon, parseDaemon);
    parseSection(reader, "listen", true, source, settings.listen,
        [source](ObjectReader& section, ListenSettings& listen) { parseListen(section, listen, source); });
    parseSection(reader, "platform", true, source, settings.platform, parsePlatform);
    parseSection(reader, "secrets", true, source, settings.secrets, parseSecrets);
    parseSection(reader, "limits", false, source, settings.limits, parseLimits);
    parseSection(reader, "endpoints", false, source, settings.endpoints, parseEndpoints);
    parseSection(reader, "reads", false, source, settings.reads, parseReads);
    parseSection(reader, "gossip", false, source, settings.gossip, parseGossip);
    parseSection(reader, "poll", false, source, settings.poll, parsePoll);
    settings.workers = parseCount(reader, "workers", { 1, 256 }, settings.workers);
    settings.networkLoops = parseCount(reader, "networkLoops", { 1, 64 }, settings.networkLoops);
    settings.logLevel = reader.oneOf("logLevel", { "debug", "info", "warning", "error" }, settings.logLevel);
    reader.reportUnknownKeys();
}

} // namespace

SettingsResult parseSettings(std::string_view text, const std::string& source)
{
    SettingsResult result;
    auto document = parseStrictJson(text, source);
    result.problems = std::move(document.problems);
    if (document.value.is_null() && !result.problems.empty())
        return result;
    ObjectReader reader(document.value, source, "", result.problems);
    parseAll(reader, result.settings, { source, result.problems });
    return result;
}

} // namespace endivetrestle
