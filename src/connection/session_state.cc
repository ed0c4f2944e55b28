#include "connection/session_state.h"

#include "base/sha256.h"

#include <algorithm>
#include <string_view>

namespace endivetrestle {

namespace {

// Whether a shape can be a part of a name as it is: short, and without blanks or control characters.
bool fitsName(std::string_view shape)
{
    constexpr std::size_t maxNameBytes = 64;
    return shape.size() <= maxNameBytes
        && std::all_of(shape.begin(), shape.end(), [](char byte) { return byte > ' ' && byte <= '~'; });
}

} // namespace

std::string PreparedStatement::sharedName() const
{
    const std::string access = this->writes ? "w" : "r";
    return fitsName(this->shape) ? access + "_" + this->shape : access + "x_" + sha256Hex(this->shape);
}

bool ConnectionSessionState::isCompatible(const SessionState& session) const
{
    return std::all_of(this->values.begin(), this->values.end(),
        [&](const auto& entry) { return session.values.count(entry.first) != 0; });
}

std::vector<EndpointCommand> ConnectionSessionState::commandsFor(
    const SessionState& session, const std::optional<PreparedStatement>& statement) const
{
    std::vector<EndpointCommand> commands;
    const bool prepare = statement && this->prepared.count(statement->sharedName()) == 0;
    const bool reset = !this->isCompatible(session) || (prepare && this->prepared.size() >= maxPrepared);
    if (reset)
        commands.push_back({ CommandKind::Reset });
    for (const auto& [name, value] : session.values) {
        const auto held = this->values.find(name);
        if (reset || held == this->values.end() || held->second != value)
            commands.push_back({ CommandKind::SetValue, "", name, value });
    }
    if (statement && (prepare || reset))
        commands.push_back({ CommandKind::Prepare, "", statement->sharedName(), statement->shape, statement->writes });
    return commands;
}

void ConnectionSessionState::onSent(const EndpointCommand& command)
{
    const bool changesState = command.kind == CommandKind::Reset || command.kind == CommandKind::SetValue
        || command.kind == CommandKind::Prepare;
    if (changesState)
        this->outstanding = command;
}

void ConnectionSessionState::onAnswer(const EndpointAnswer& answer)
{
    if (!this->outstanding)
        return;
    if (answer.succeeded)
        this->apply(*this->outstanding);
    else if (!provesNotRun(answer.code))
        this->unknown = true;
    this->outstanding.reset();
}

void ConnectionSessionState::apply(const EndpointCommand& command)
{
    if (command.kind == CommandKind::Reset) {
        this->values.clear();
        this->prepared.clear();
    } else if (command.kind == CommandKind::SetValue)
        this->values[command.text] = command.argument;
    else if (command.kind == CommandKind::Prepare)
        this->prepared.insert(command.text);
}

void ConnectionSessionState::forgetPrepared(const std::string& sharedName) { this->prepared.erase(sharedName); }

} // namespace endivetrestle
