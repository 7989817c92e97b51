#include "operatorservice.h"

#include "editcodec.h"

#include <base/visitor.h>
#include <contracts/configurationcodec.h>
#include <contracts/keyhasher.h>

#include <openssl/crypto.h>
#include <openssl/rand.h>

namespace Operators {

namespace {

using Base::Visitor;
namespace Wire = OperatorProtocol;

constexpr std::chrono::seconds editTimeout(15);
constexpr size_t keyIdBytes = 6;

std::string toHex(const unsigned char *bytes, size_t size)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (size_t i = 0; i < size; ++i) {
        text += digits[bytes[i] >> 4];
        text += digits[bytes[i] & 15];
    }
    return text;
}

bool isEqualConstantTime(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

Wire::Unavailable unavailable(std::string message, std::string ran)
{
    Wire::Unavailable error;
    error.message = std::move(message);
    error.step = Base::toString(Base::Step::Configure);
    error.peer = "platform";
    error.ran = std::move(ran);
    return error;
}

Wire::InvalidChange invalid(const std::vector<Base::SettingsProblem> &problems)
{
    Wire::InvalidChange error;
    error.problems = encodeProblems(problems);
    return error;
}

std::optional<Base::ConfigVersion> toVersion(std::int64_t version)
{
    if (version == 0) {
        return std::nullopt;
    }
    return Base::ConfigVersion(static_cast<std::uint64_t>(version));
}

} // namespace

OperatorService::OperatorService(std::vector<OperatorAccount> accounts,
                                 DaemonAccess &daemon,
                                 Telemetry::Log &log)
    : accounts_(std::move(accounts))
    , daemon_(daemon)
    , log_(log)
{}

void OperatorService::authenticate(const Wire::Credential &credential) const
{
    const Contracts::KeyHash hash = Contracts::hashSecret(credential.token);
    const std::string text = toHex(hash.data(), hash.size());
    bool isKnown = false;
    for (const OperatorAccount &account : accounts_) {
        const bool isMatch = isEqualConstantTime(account.tokenHash, text);
        isKnown = isKnown || (isMatch && account.name == credential.name);
    }
    if (!isKnown) {
        Wire::Unauthorized error;
        error.message = "unknown operator or wrong token";
        throw error;
    }
}

void OperatorService::editAnswered(const Scheduler::AnswerEdit &answer)
{
    const Base::RequestId request
        = std::visit([](const auto &body) { return body.request; }, answer.answer);
    const std::lock_guard lock(mutex_);
    const auto entry = edits_.find(request);
    if (entry != edits_.end()) {
        entry->second = answer.answer;
        outcomeArrived_.notify_all();
    }
}

OperatorService::Answer OperatorService::waitFor(Base::RequestId request)
{
    std::unique_lock lock(mutex_);
    outcomeArrived_.wait_for(lock, editTimeout, [&] { return edits_.at(request).has_value(); });
    std::optional<Answer> answer = std::move(edits_.at(request));
    edits_.erase(request);
    if (answer) {
        return std::move(*answer);
    }
    Contracts::EditFailed failed;
    failed.request = request;
    failed.error.ran = Base::Ran::MayHaveRun;
    failed.error.message
        = "the change was not confirmed within " + std::to_string(editTimeout.count()) + " s";
    return failed;
}

Base::ConfigVersion OperatorService::apply(const std::string &operatorName,
                                           Contracts::ConfigEdit edit,
                                           std::optional<Base::ConfigVersion> expected)
{
    const Base::ConfigVersion before = daemon_.configuration()->version;
    Base::RequestId request;
    {
        const std::lock_guard lock(mutex_);
        request = Base::RequestId(++lastRequest_);
        edits_.emplace(request, std::nullopt);
    }
    daemon_.submitEdit(Contracts::SubmitEdit{request, std::move(edit), expected});
    const Answer answer = waitFor(request);
    const Base::ConfigVersion version = std::visit(
        Visitor{[](const Contracts::EditAccepted &accepted) { return accepted.document->version; },
                [](const Contracts::EditInvalid &refused) -> Base::ConfigVersion {
                    throw invalid(refused.problems);
                },
                [](const Contracts::EditConflict &conflict) -> Base::ConfigVersion {
                    Wire::Conflict error;
                    error.expectedVersion = static_cast<std::int64_t>(conflict.expected.value());
                    error.foundVersion = static_cast<std::int64_t>(conflict.found.value());
                    throw error;
                },
                [](const Contracts::EditFailed &failed) -> Base::ConfigVersion {
                    throw unavailable(failed.error.message,
                                      std::string(Base::toString(failed.error.ran)));
                }},
        answer);
    log_.write(Telemetry::LogLevel::Info,
               "operator " + operatorName + " changed the configuration from version "
                   + std::to_string(before.value()) + " to " + std::to_string(version.value()),
               {.step = "configure", .peer = operatorName});
    return version;
}

void OperatorService::change(Wire::ChangeResult &result,
                             const Wire::Credential &credential,
                             const Wire::ChangeRequest &request)
{
    authenticate(credential);
    DecodedChange decoded = decodeChange(request.change);
    if (const auto *problems = std::get_if<std::vector<Base::SettingsProblem>>(&decoded)) {
        throw invalid(*problems);
    }
    const Contracts::ConfigEdit &edit = std::get<Contracts::ConfigEdit>(decoded);
    result.isDryRun = request.isDryRun;
    if (request.isDryRun) {
        const auto edited = Contracts::applyEdit(*daemon_.configuration(), edit);
        if (!edited.isValid()) {
            throw invalid(edited.problems);
        }
        result.version = static_cast<std::int64_t>(edited.document.version.value());
        return;
    }
    const auto expected
        = request.__isset.expectedVersion ? toVersion(request.expectedVersion) : std::nullopt;
    result.version = static_cast<std::int64_t>(apply(credential.name, edit, expected).value());
}

void OperatorService::issueKey(Wire::IssuedKey &result,
                               const Wire::Credential &credential,
                               const std::string &team,
                               std::int64_t expectedVersion)
{
    authenticate(credential);
    unsigned char idBytes[keyIdBytes];
    Contracts::KeySecret secret;
    if (RAND_bytes(idBytes, sizeof(idBytes)) != 1
        || RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1) {
        throw unavailable("the random generator failed while creating a key", "not_run");
    }
    Contracts::Key key;
    key.id = Base::KeyId(toHex(idBytes, sizeof(idBytes)));
    result.text = Contracts::formatKey(key.id, secret);
    key.hash = Contracts::hashSecret(Contracts::parseKey(result.text)->secret);
    result.key = key.id.text();
    result.version = static_cast<std::int64_t>(apply(credential.name,
                                                     Contracts::AddKey{Base::TeamId(team), key},
                                                     toVersion(expectedVersion))
                                                   .value());
}

void OperatorService::configuration(Wire::Configuration &result, const Wire::Credential &credential)
{
    authenticate(credential);
    const auto document = daemon_.configuration();
    result.version = static_cast<std::int64_t>(document->version.value());
    result.document = Contracts::encode(*document);
}

void OperatorService::status(Wire::DaemonStatus &result, const Wire::Credential &credential)
{
    authenticate(credential);
    result = daemon_.status();
}

} // namespace Operators
