#include "soak/soak_client.h"

#include "base/boot_clock.h"
#include "platform/line_codec.h"

#include <iterator>
#include <utility>

namespace endivetrestle::soak {

namespace {

// Longest wait for an answer, longer than any statement time of the routes.
constexpr std::chrono::seconds answerLimit { 4 };

// Shapes that clients prepare. Some contain blanks, as if they were statements, and one does not fit into a name.
const std::string preparedShapes[] = { "q13", "q 13", "WRITE q13", "uc WRITE q13 WRITE uc",
    "a shape of more than sixty-four bytes, which is too long to be a part of a name" };

bool promisesNothingKept(const std::string& word)
{
    const auto code = platform::parseReplyCode(word);
    return code == ReplyCode::Aborted || (provesNotRun(code) && code != ReplyCode::NoStatement);
}

} // namespace

SoakClient::SoakClient(asio::io_context& context, std::mt19937_64& random, Audit& audit, ClientCounts& counts,
    std::string name, ClientRoute route, std::function<asio::ip::tcp::endpoint()> pickDaemon)
    : context(context)
    , random(random)
    , audit(audit)
    , counts(counts)
    , name(std::move(name))
    , route(std::move(route))
    , pickDaemon(std::move(pickDaemon))
    , timer(context)
    , timeout(context)
{
}

SoakClient::~SoakClient() { this->stop(); }

void SoakClient::start() { this->connect(); }

void SoakClient::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->timeout.cancel();
    if (this->socket)
        this->socket->close();
}

void SoakClient::connect()
{
    this->inTransaction = false;
    this->transactionWrites.clear();
    this->values.clear();
    this->prepared.clear();
    this->ownWrites.clear();
    this->expected = Expect::Startup;
    this->outstanding = true;
    this->socket = std::make_shared<LineSocket>(asio::ip::tcp::socket(this->context), platform::maxLineBytes);
    this->socket->connect(
        this->pickDaemon(),
        [this] { this->socket->write("STARTUP " + this->route.database + " " + this->name + "\r\n"); },
        [this](std::string_view line) { return this->onLine(line); }, [this] { this->reconnectLater(); });
    this->armTimeout();
}

void SoakClient::armTimeout()
{
    this->timeout.expires_after(answerLimit);
    this->timeout.async_wait([this](const asio::error_code& error) {
        if (error || this->stopped)
            return;
        this->socket->close();
        this->reconnectLater();
    });
}

void SoakClient::reconnectLater()
{
    if (this->stopped)
        return;
    ++this->counts.lost;
    ++this->presentCounts().lost;
    this->timeout.cancel();
    this->timer.expires_after(std::chrono::milliseconds(20 + this->random() % 100));
    this->timer.async_wait([this](const asio::error_code& error) {
        if (!error && !this->stopped)
            this->connect();
    });
}

bool SoakClient::onLine(std::string_view line)
{
    const std::string text(line);
    const auto blank = text.find(' ');
    const auto word = text.substr(0, blank);
    const auto rest = blank == std::string::npos ? "" : text.substr(blank + 1);
    if (!this->outstanding) {
        // An error that answers nothing ends the session; the client closes it.
        if (word != "ERROR")
            this->audit.violate(ViolationKind::UnexpectedMessage, "client without a statement got the line " + text);
        this->reconnectLater();
        return false;
    }
    if (word == "DATAROW")
        this->rows.push_back(rest);
    else if (word == "COMPLETE")
        this->signature = rest;
    else if (word == "ERROR") {
        this->errorCode = rest.substr(0, rest.find(' '));
        this->audit.onError(this->currentId, platform::parseReplyCode(this->errorCode));
        // The session is closed after a refused start.
        return this->expected != Expect::Startup;
    } else if (word == "READY")
        this->onReady(rest.substr(0, 1));
    else
        this->audit.violate(ViolationKind::UnexpectedMessage, "client got the line " + text);
    return !this->stopped;
}

void SoakClient::onReady(const std::string& state)
{
    this->timeout.cancel();
    this->outstanding = false;
    if (this->expected != Expect::Startup && !this->errorCode.empty()) {
        this->onFailure(state);
        return;
    }
    this->onSuccess();
    this->timer.expires_after(std::chrono::milliseconds(1 + this->random() % 30));
    this->timer.async_wait([this](const asio::error_code& error) {
        if (!error && !this->stopped)
            this->nextOperation();
    });
}

void SoakClient::onSuccess()
{
    if (this->expected == Expect::Startup)
        return;
    ++this->counts.succeeded;
    ++this->presentCounts().succeeded;
    if (this->expected == Expect::Read || this->expected == Expect::Write || this->expected == Expect::Commit)
        this->audit.onSuccess(this->currentId, this->rows, this->signature);
    switch (this->expected) {
    case Expect::SetValue:
        this->values[this->pendingValue.first] = this->pendingValue.second;
        break;
    case Expect::Prepare:
        this->prepared[this->pendingPrepare.first] = this->pendingPrepare.second;
        break;
    case Expect::Begin:
        this->inTransaction = true;
        ++this->transactions;
        this->transactionLeft = 1 + static_cast<int>(this->random() % 3);
        break;
    case Expect::Write:
        if (this->inTransaction)
            break;
        this->onCommitted({ this->currentId });
        break;
    case Expect::Commit:
        this->onCommitted(this->transactionWrites);
        break;
    case Expect::Rollback:
        this->audit.onRefused(this->transactionWrites);
        break;
    default:
        break;
    }
    if (this->expected == Expect::Commit || this->expected == Expect::Rollback) {
        this->inTransaction = false;
        this->transactionWrites.clear();
    }
}

void SoakClient::onCommitted(const std::vector<std::string>& writes)
{
    this->audit.onAcknowledged(writes, bootNow());
    const auto commit = writes.empty() ? std::nullopt : this->audit.commitOf(writes.back());
    if (commit)
        this->ownWrites[commit->first] = commit->second;
}

void SoakClient::onFailure(const std::string& state)
{
    const bool promise = promisesNothingKept(this->errorCode);
    for (auto* total : { &this->counts, &this->presentCounts() })
        ++(promise ? total->refused : total->unknown);
    if (promise && this->inTransaction)
        this->audit.onRefused(this->transactionWrites);
    else if (promise && this->expected == Expect::Write)
        this->audit.onRefused({ this->currentId });
    this->inTransaction = this->inTransaction && this->expected != Expect::Commit;
    if (!this->inTransaction)
        this->transactionWrites.clear();
    if (state != "I")
        this->send(Expect::Rollback, "ROLLBACK");
    else {
        this->inTransaction = false;
        this->transactionWrites.clear();
        this->nextOperation();
    }
}

ClientCounts& SoakClient::presentCounts()
{
    const bool writes = this->expected == Expect::Write || this->expected == Expect::Commit || this->inTransaction;
    return writes || !this->route.maxStaleness ? this->atPrimary : this->reads;
}

void SoakClient::nextOperation()
{
    const auto choice = this->random() % 100;
    if (this->inTransaction && this->transactionLeft-- <= 0) {
        const bool commit = choice >= 20;
        this->send(commit ? Expect::Commit : Expect::Rollback, commit ? "COMMIT" : "ROLLBACK");
    } else if (choice < 10)
        this->sendSetValue();
    else if (choice < 15)
        this->sendPrepare();
    else if (!this->inTransaction && choice < 35)
        this->send(Expect::Begin, "BEGIN");
    else
        this->sendData(choice < 58);
}

void SoakClient::sendSetValue()
{
    this->pendingValue = { "v" + std::to_string(this->random() % 2), std::to_string(this->random() % 3) };
    this->send(Expect::SetValue, "SET " + this->pendingValue.first + " " + this->pendingValue.second);
}

// Names are few, so that clients prepare different shapes under one name, and one client may do so again.
void SoakClient::sendPrepare()
{
    const bool writes = this->random() % 2 == 0;
    const auto& shape = preparedShapes[this->random() % std::size(preparedShapes)];
    this->pendingPrepare = { "p" + std::to_string(this->random() % 3), { writes, shape } };
    this->send(Expect::Prepare, "PREPARE " + this->pendingPrepare.first + (writes ? " WRITE " : " READ ") + shape);
}

std::optional<std::string> SoakClient::preparedName(bool writes) const
{
    for (const auto& [preparedAs, shape] : this->prepared) {
        if (shape.writes == writes)
            return preparedAs;
    }
    return std::nullopt;
}

void SoakClient::sendData(bool write)
{
    // Each statement has a text of its own. The data of a write would be another write if a line feed ended the
    // statement.
    const auto item = std::to_string(this->statements);
    const auto arguments = write ? item + " " + this->name + "\nQUERY unsent WRITE 1 y" : item;
    const auto kind = write ? Expect::Write : Expect::Read;
    const auto preparedAs = this->preparedName(write);
    if (preparedAs && this->random() % 2 == 0)
        this->send(kind, "EXECUTE " + *preparedAs + " " + arguments, this->prepared.at(*preparedAs));
    else
        this->send(kind, (write ? "WRITE " : "READ ") + arguments);
}

void SoakClient::send(Expect kind, const std::string& text, const std::optional<PreparedShape>& shape)
{
    this->expected = kind;
    this->outstanding = true;
    this->currentId = this->name + "." + std::to_string(++this->statements);
    this->rows.clear();
    this->signature.clear();
    this->errorCode.clear();
    SentStatement statement;
    statement.group = this->route.group;
    statement.text = text;
    statement.shape = shape;
    if (this->inTransaction)
        statement.transaction = this->name + "/" + std::to_string(this->transactions);
    statement.reads = kind == Expect::Read && !this->inTransaction;
    statement.maxStaleness = this->route.maxStaleness;
    statement.values = this->values;
    if (this->route.readsOwnWrites)
        statement.ownWrites = this->ownWrites;
    this->audit.onSent(this->currentId, statement, bootNow());
    if (this->inTransaction && kind == Expect::Write)
        this->transactionWrites.push_back(this->currentId);
    this->socket->write("QUERY " + this->currentId + " " + text + "\r\n");
    this->armTimeout();
}

} // namespace endivetrestle::soak
