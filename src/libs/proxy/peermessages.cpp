#include "peermessages.h"

#include <base/visitor.h>
#include <proxypeer/proxypeer_types.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cmath>

namespace Proxy {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;
namespace Wire = ProxyPeerProtocol;

std::int64_t toWire(RequestNumber number)
{
    return static_cast<std::int64_t>(number.value());
}

RequestNumber requestNumberFromWire(std::int64_t number)
{
    return RequestNumber(static_cast<std::uint64_t>(number));
}

Wire::TokenVerdict::type toWire(Programs::TurnVerdict verdict)
{
    switch (verdict) {
    case Programs::TurnVerdict::Admitted:
        return Wire::TokenVerdict::Granted;
    case Programs::TurnVerdict::Exhausted:
        return Wire::TokenVerdict::Spent;
    case Programs::TurnVerdict::Unavailable:
        break;
    }
    return Wire::TokenVerdict::Unavailable;
}

Programs::TurnVerdict verdictFromWire(Wire::TokenVerdict::type verdict)
{
    switch (verdict) {
    case Wire::TokenVerdict::Granted:
        return Programs::TurnVerdict::Admitted;
    case Wire::TokenVerdict::Spent:
        return Programs::TurnVerdict::Exhausted;
    case Wire::TokenVerdict::Unavailable:
        break;
    }
    return Programs::TurnVerdict::Unavailable;
}

std::int64_t toMilliseconds(Base::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Base::Duration durationFromWire(std::int64_t milliseconds)
{
    constexpr std::int64_t longestMs = 1000LL * 60 * 60 * 24 * 365;
    return std::chrono::milliseconds(std::clamp<std::int64_t>(milliseconds, 0, longestMs));
}

Wire::ListStatement toWire(const ListReport &report)
{
    Wire::ListStatement part;
    part.changedAt = static_cast<std::int64_t>(report.changedAt);
    part.confirmedAt = static_cast<std::int64_t>(report.confirmedAt);
    part.reads = static_cast<std::int64_t>(report.reads);
    part.ageMs = toMilliseconds(report.age);
    return part;
}

ListReport reportFromWire(const Wire::ListStatement &report)
{
    return {static_cast<std::uint64_t>(report.changedAt),
            static_cast<std::uint64_t>(report.confirmedAt),
            static_cast<std::uint64_t>(report.reads),
            durationFromWire(report.ageMs)};
}

Wire::RequestUrgency::type toWire(Admission::Urgency urgency)
{
    switch (urgency) {
    case Admission::Urgency::NewProgram:
        return Wire::RequestUrgency::NewProgram;
    case Admission::Urgency::Started:
        return Wire::RequestUrgency::Started;
    case Admission::Urgency::ToolCall:
        break;
    }
    return Wire::RequestUrgency::ToolCall;
}

Admission::Urgency urgencyFromWire(Wire::RequestUrgency::type urgency)
{
    switch (urgency) {
    case Wire::RequestUrgency::NewProgram:
        return Admission::Urgency::NewProgram;
    case Wire::RequestUrgency::ToolCall:
        return Admission::Urgency::ToolCall;
    case Wire::RequestUrgency::Started:
        break;
    }
    return Admission::Urgency::Started;
}

Wire::LimitReport toWire(const LimitReport &report)
{
    Wire::LimitReport part;
    part.server = report.instance.id.text();
    part.startedAt = static_cast<std::int64_t>(report.instance.startedAt);
    if (report.limit) {
        part.__set_perSecond(report.limit->value());
    }
    part.ageUs = std::chrono::duration_cast<std::chrono::microseconds>(report.age).count();
    return part;
}

/// Returns nothing if the limit is not a rate.
std::optional<LimitReport> reportFromWire(const Wire::LimitReport &report)
{
    if (report.__isset.perSecond && !(std::isfinite(report.perSecond) && report.perSecond >= 0)) {
        return std::nullopt;
    }
    LimitReport result;
    result.instance = {Base::ServerId(report.server), static_cast<std::uint64_t>(report.startedAt)};
    if (report.__isset.perSecond) {
        result.limit = Base::RequestRate(report.perSecond);
    }
    result.age = std::chrono::microseconds(std::max<std::int64_t>(0, report.ageUs));
    return result;
}

Wire::CrashStage::type toWire(Dispatch::CrashStage stage)
{
    switch (stage) {
    case Dispatch::CrashStage::Waiting:
        return Wire::CrashStage::Waiting;
    case Dispatch::CrashStage::Begun:
        return Wire::CrashStage::Begun;
    case Dispatch::CrashStage::Producing:
        return Wire::CrashStage::Producing;
    case Dispatch::CrashStage::Unknown:
        break;
    }
    return Wire::CrashStage::Unknown;
}

Dispatch::CrashStage stageFromWire(Wire::CrashStage::type stage)
{
    switch (stage) {
    case Wire::CrashStage::Waiting:
        return Dispatch::CrashStage::Waiting;
    case Wire::CrashStage::Begun:
        return Dispatch::CrashStage::Begun;
    case Wire::CrashStage::Producing:
        return Dispatch::CrashStage::Producing;
    case Wire::CrashStage::Unknown:
        break;
    }
    return Dispatch::CrashStage::Unknown;
}

/// Nothing if the fields are missing or the rate is not one; the sender then uses its even part.
std::optional<ColdReport> coldFromWire(const Wire::ServerPermitRequest &request)
{
    constexpr std::int64_t longestMs = 1000LL * 60 * 60;
    const bool isUsable = request.__isset.coldPerSecond && request.__isset.coldLeftMs
                          && std::isfinite(request.coldPerSecond) && request.coldPerSecond > 0;
    if (!isUsable) {
        return std::nullopt;
    }
    const std::int64_t left = std::clamp<std::int64_t>(request.coldLeftMs, 0, longestMs);
    return ColdReport{Base::RequestRate(request.coldPerSecond), std::chrono::milliseconds(left)};
}

std::vector<Wire::QuarantineReport> toWire(const std::vector<QuarantineReport> &reports)
{
    std::vector<Wire::QuarantineReport> parts;
    for (const QuarantineReport &report : reports) {
        Wire::QuarantineReport &part = parts.emplace_back();
        part.team = report.request.team.text();
        part.scope = report.request.scope == Dispatch::RequestScope::Path
                         ? Wire::RequestScope::Path
                         : Wire::RequestScope::Exact;
        part.requestHash = static_cast<std::int64_t>(report.request.hash);
        part.isQuarantined = report.isQuarantined;
        part.firstCrashAgeMs = toMilliseconds(report.firstCrashAge);
        part.ageMs = toMilliseconds(report.age);
        part.durationMs = toMilliseconds(report.duration);
    }
    return parts;
}

std::vector<QuarantineReport> reportsFromWire(const std::vector<Wire::QuarantineReport> &parts)
{
    std::vector<QuarantineReport> reports;
    for (const Wire::QuarantineReport &part : parts) {
        const auto scope = part.scope == Wire::RequestScope::Path ? Dispatch::RequestScope::Path
                                                                  : Dispatch::RequestScope::Exact;
        reports.push_back(
            {{Base::TeamId(part.team), scope, static_cast<std::uint64_t>(part.requestHash)},
             part.isQuarantined,
             durationFromWire(part.firstCrashAgeMs),
             durationFromWire(part.ageMs),
             durationFromWire(part.durationMs)});
    }
    return reports;
}

Wire::PermitAnswer toWire(const PermitResponse &response)
{
    const Admission::PermitVerdict &verdict = response.verdict;
    Wire::PermitAnswer part;
    part.number = toWire(response.number);
    part.isAdmitted = verdict.isAdmitted;
    part.waitUs = (verdict.isAdmitted ? verdict.wait : verdict.retryAfter).count();
    if (response.isColdApplied) {
        part.__set_isColdApplied(true);
    }
    return part;
}

Admission::PermitVerdict verdictFromWire(const Wire::PermitAnswer &answer)
{
    const Base::Duration wait(std::max<std::int64_t>(0, answer.waitUs));
    return answer.isAdmitted ? Admission::PermitVerdict{true, wait, {}}
                             : Admission::PermitVerdict{false, {}, wait};
}

Wire::ClaimRelayAnswer toWire(const AllocationRelayResponse &response)
{
    Wire::ClaimRelayAnswer part;
    part.number = toWire(response.number);
    std::visit(Base::Visitor{[&](const Programs::AllocationWritten &written) {
                                 part.outcome = Wire::RelayOutcome::Written;
                                 part.version = static_cast<std::int64_t>(written.version.value());
                             },
                             [&](const Programs::AllocationConflict &conflict) {
                                 part.outcome = Wire::RelayOutcome::Conflict;
                                 part.version
                                     = static_cast<std::int64_t>(conflict.stored.version.value());
                                 part.total = conflict.stored.total.value();
                                 part.lastWrite = conflict.stored.lastWrite.text();
                             },
                             [&](const Programs::AllocationUnanswered &) {
                                 part.outcome = Wire::RelayOutcome::Unanswered;
                             }},
               response.outcome);
    return part;
}

Programs::AllocationOutcome outcomeFromWire(const Wire::ClaimRelayAnswer &answer)
{
    const Programs::AllocationVersion version(static_cast<std::uint64_t>(answer.version));
    switch (answer.outcome) {
    case Wire::RelayOutcome::Written:
        return Programs::AllocationWritten{version};
    case Wire::RelayOutcome::Conflict:
        return Programs::AllocationConflict{
            {version, Base::Tokens(answer.total), Base::WriteId(answer.lastWrite)}};
    case Wire::RelayOutcome::Unanswered:
        break;
    }
    return Programs::AllocationUnanswered{};
}

Wire::ProcessCertainty::type toWire(Dispatch::ProcessCertainty certainty)
{
    switch (certainty) {
    case Dispatch::ProcessCertainty::Certain:
        return Wire::ProcessCertainty::Certain;
    case Dispatch::ProcessCertainty::Unsure:
        return Wire::ProcessCertainty::Unsure;
    case Dispatch::ProcessCertainty::Doubtful:
        return Wire::ProcessCertainty::Doubtful;
    case Dispatch::ProcessCertainty::Probable:
        break;
    }
    return Wire::ProcessCertainty::Probable;
}

/// The fields of previous builds have the default value.
Dispatch::ProcessCertainty certaintyFromWire(Wire::ProcessCertainty::type certainty)
{
    switch (certainty) {
    case Wire::ProcessCertainty::Certain:
        return Dispatch::ProcessCertainty::Certain;
    case Wire::ProcessCertainty::Unsure:
        return Dispatch::ProcessCertainty::Unsure;
    case Wire::ProcessCertainty::Doubtful:
        return Dispatch::ProcessCertainty::Doubtful;
    case Wire::ProcessCertainty::Probable:
        break;
    }
    return Dispatch::ProcessCertainty::Probable;
}

Wire::StreamNotice toWire(const StreamNotice &notice)
{
    Wire::StreamNotice part;
    part.attempt = notice.stream.attempt;
    part.version = notice.record.version.text();
    if (notice.stream.key) {
        part.__set_requestKey(static_cast<std::int64_t>(notice.stream.key->value()));
    }
    part.__set_server(notice.record.server.id.text());
    part.__set_startedAt(static_cast<std::int64_t>(notice.record.server.startedAt));
    part.__set_openBeforeMs(toMilliseconds(notice.record.openBefore));
    part.__set_certainty(toWire(notice.record.certainty));
    return part;
}

std::optional<Dispatch::StreamKey> keyFromWire(bool isSet, std::int64_t key)
{
    return isSet ? std::optional(Dispatch::StreamKey(static_cast<std::uint64_t>(key)))
                 : std::nullopt;
}

/// Fields that a previous build does not set have their default values.
StreamNotice noticeFromWire(const Wire::StreamNotice &notice)
{
    return {{notice.attempt, keyFromWire(notice.__isset.requestKey, notice.requestKey)},
            {Base::SoftwareVersion(notice.version),
             {Base::ServerId(notice.server), static_cast<std::uint64_t>(notice.startedAt)},
             {},
             durationFromWire(notice.openBeforeMs),
             certaintyFromWire(notice.certainty)}};
}

Wire::StreamVersionAnswer toWire(const StreamVersionResponse &response)
{
    Wire::StreamVersionAnswer part;
    part.number = toWire(response.number);
    std::visit(
        Base::Visitor{[](const Dispatch::UnknownStream &) {},
                      [&](const Dispatch::AmbiguousStream &) { part.__set_isAmbiguous(true); },
                      [&](const Dispatch::StreamRecord &record) {
                          part.__set_version(record.version.text());
                          part.__set_server(record.server.id.text());
                          part.__set_startedAt(static_cast<std::int64_t>(record.server.startedAt));
                          part.__set_ageMs(toMilliseconds(record.age));
                          part.__set_openBeforeMs(toMilliseconds(record.openBefore));
                          part.__set_certainty(toWire(record.certainty));
                      }},
        response.finding);
    return part;
}

Dispatch::StreamFinding findingFromWire(const Wire::StreamVersionAnswer &answer)
{
    if (answer.__isset.isAmbiguous && answer.isAmbiguous) {
        return Dispatch::AmbiguousStream{};
    }
    if (!answer.__isset.version) {
        return Dispatch::UnknownStream{};
    }
    return Dispatch::StreamRecord{
        Base::SoftwareVersion(answer.version),
        {Base::ServerId(answer.server), static_cast<std::uint64_t>(answer.startedAt)},
        durationFromWire(answer.ageMs),
        durationFromWire(answer.openBeforeMs),
        certaintyFromWire(answer.certainty)};
}

Wire::PeerBody toWire(const PeerBody &body)
{
    Wire::PeerBody wire;
    std::visit(
        Base::Visitor{
            [&](const PoolJoinRequest &request) {
                Wire::PoolStatement part;
                part.number = toWire(request.number);
                for (const TeamGroup group : request.groups) {
                    part.groups.push_back(group.value());
                }
                part.quarantineDigest = static_cast<std::int64_t>(request.quarantineDigest);
                wire.__set_poolStatement(part);
            },
            [&](const PoolJoinResponse &response) {
                Wire::PoolAnswer part;
                part.number = toWire(response.number);
                part.hearsMost = response.hasMajority;
                for (const LimitReport &report : response.limits) {
                    part.limits.push_back(toWire(report));
                }
                part.quarantineDigest = static_cast<std::int64_t>(response.quarantineDigest);
                part.quarantine = toWire(response.quarantine);
                wire.__set_poolAnswer(part);
            },
            [&](const PermitRequest &request) {
                Wire::PermitRequest part;
                part.number = toWire(request.number);
                part.team = request.team.text();
                part.urgency = toWire(request.urgency);
                wire.__set_permitRequest(part);
            },
            [&](const PermitResponse &response) { wire.__set_permitAnswer(toWire(response)); },
            [&](const PermitReturn &permit) {
                Wire::PermitReturn part;
                part.team = permit.team.text();
                wire.__set_permitReturn(part);
            },
            [&](const TokenReturn &tokenReturn) {
                Wire::TokenReturn part;
                part.number = toWire(tokenReturn.number);
                part.amount = tokenReturn.amount.value();
                wire.__set_tokenReturn(part);
            },
            [&](const TokenRequest &request) {
                Wire::TokenRequest part;
                part.number = toWire(request.number);
                part.program = request.program.text();
                part.budget = request.budget.value();
                part.needed = request.needed.value();
                part.retentionMs
                    = std::chrono::duration_cast<std::chrono::milliseconds>(request.retention)
                          .count();
                part.used = request.used.value();
                part.__set_turnMaximum(request.turnMaximum.value());
                wire.__set_tokenRequest(part);
            },
            [&](const TokenResponse &response) {
                Wire::TokenAnswer part;
                part.number = toWire(response.number);
                part.verdict = toWire(response.verdict);
                part.amount = response.amount.value();
                wire.__set_tokenAnswer(part);
            },
            [&](const RequestInProgress &progress) {
                Wire::StillWorking part;
                part.number = toWire(progress.number);
                wire.__set_stillWorking(part);
            },
            [&](const AllocationRelayRequest &relay) {
                Wire::ClaimRelay part;
                part.number = toWire(relay.number);
                part.program = relay.allocation.program.text();
                part.expectedVersion = static_cast<std::int64_t>(relay.allocation.expected.value());
                part.total = relay.allocation.total.value();
                part.writeId = relay.allocation.writeId.text();
                part.retentionMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                                       relay.allocation.retention)
                                       .count();
                wire.__set_claimRelay(part);
            },
            [&](const AllocationRelayResponse &response) {
                wire.__set_claimRelayAnswer(toWire(response));
            },
            [&](const Notice &) { wire.__set_notice({}); },
            [&](const LimitReport &report) { wire.__set_limitReport(toWire(report)); },
            [&](const ServerPermitRequest &request) {
                Wire::ServerPermitRequest part;
                part.number = toWire(request.number);
                part.report = toWire(request.report);
                part.urgency = toWire(request.terms.urgency);
                part.mayWait = request.terms.mayWait;
                if (request.cold) {
                    part.__set_coldPerSecond(request.cold->rate.value());
                    part.__set_coldLeftMs(toMilliseconds(request.cold->left));
                }
                wire.__set_serverPermitRequest(part);
            },
            [&](const ServerPermitReturn &permit) {
                Wire::ServerPermitReturn part;
                part.server = permit.server.text();
                wire.__set_serverPermitReturn(part);
            },
            [&](const StreamNotice &notice) { wire.__set_streamNotice(toWire(notice)); },
            [&](const StreamVersionRequest &request) {
                Wire::StreamVersionRequest part;
                part.number = toWire(request.number);
                part.attempt = request.stream.attempt;
                if (request.stream.key) {
                    part.__set_requestKey(static_cast<std::int64_t>(request.stream.key->value()));
                }
                wire.__set_streamVersionRequest(part);
            },
            [&](const StreamVersionResponse &response) {
                wire.__set_streamVersionAnswer(toWire(response));
            },
            [&](const OverdraftNotice &notice) {
                Wire::OverdraftNotice part;
                part.number = toWire(notice.number);
                part.program = notice.overdraft.program.text();
                part.limit = notice.overdraft.limit.value();
                part.retentionMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                                       notice.overdraft.retention)
                                       .count();
                wire.__set_overdraftNotice(part);
            },
            [&](const OverdraftRecorded &response) {
                Wire::OverdraftRecorded part;
                part.number = toWire(response.number);
                wire.__set_overdraftRecorded(part);
            },
            [&](const Dispatch::CrashReport &report) {
                Wire::CrashReport part;
                part.team = report.request.path.team.text();
                part.pathHash = static_cast<std::int64_t>(report.request.path.hash);
                part.exactHash = static_cast<std::int64_t>(report.request.exact.hash);
                part.server = report.server.id.text();
                part.startedAt = static_cast<std::int64_t>(report.server.startedAt);
                part.stage = toWire(report.stage);
                part.atServerUs = report.timeAtServer.count();
                part.ageUs = report.age.count();
                wire.__set_crashReport(part);
            },
            [&](const RelayNotice &) { wire.__set_relayNotice({}); },
            [&](const QuarantineNotice &notice) {
                Wire::QuarantineNotice part;
                part.reports = toWire(notice.reports);
                wire.__set_quarantineNotice(part);
            }},
        body);
    return wire;
}

std::optional<PeerBody> fromWire(const Wire::PeerBody &wire)
{
    if (wire.__isset.poolStatement) {
        PoolJoinRequest request;
        request.number = requestNumberFromWire(wire.poolStatement.number);
        for (const std::int32_t group : wire.poolStatement.groups) {
            request.groups.emplace_back(group);
        }
        request.quarantineDigest = static_cast<std::uint64_t>(wire.poolStatement.quarantineDigest);
        return request;
    }
    if (wire.__isset.poolAnswer) {
        PoolJoinResponse response;
        response.number = requestNumberFromWire(wire.poolAnswer.number);
        response.hasMajority = wire.poolAnswer.hearsMost;
        response.quarantineDigest = static_cast<std::uint64_t>(wire.poolAnswer.quarantineDigest);
        response.quarantine = reportsFromWire(wire.poolAnswer.quarantine);
        for (const Wire::LimitReport &report : wire.poolAnswer.limits) {
            if (auto limit = reportFromWire(report)) {
                response.limits.push_back(std::move(*limit));
            }
        }
        return response;
    }
    if (wire.__isset.permitRequest) {
        return PermitRequest{requestNumberFromWire(wire.permitRequest.number),
                             Base::TeamId(wire.permitRequest.team),
                             urgencyFromWire(wire.permitRequest.urgency)};
    }
    if (wire.__isset.permitAnswer) {
        return PermitResponse{requestNumberFromWire(wire.permitAnswer.number),
                              verdictFromWire(wire.permitAnswer),
                              wire.permitAnswer.__isset.isColdApplied
                                  && wire.permitAnswer.isColdApplied};
    }
    if (wire.__isset.permitReturn) {
        return PermitReturn{Base::TeamId(wire.permitReturn.team)};
    }
    if (wire.__isset.tokenReturn) {
        return TokenReturn{requestNumberFromWire(wire.tokenReturn.number),
                           Base::Tokens(wire.tokenReturn.amount)};
    }
    if (wire.__isset.tokenRequest) {
        const Wire::TokenRequest &request = wire.tokenRequest;
        return TokenRequest{requestNumberFromWire(request.number),
                            Base::ProgramId(request.program),
                            Base::Tokens(request.budget),
                            Base::Tokens(request.needed),
                            std::chrono::milliseconds(request.retentionMs),
                            Base::Tokens(request.used),
                            Base::Tokens(request.__isset.turnMaximum ? request.turnMaximum : 0)};
    }
    if (wire.__isset.tokenAnswer) {
        const Wire::TokenAnswer &answer = wire.tokenAnswer;
        return TokenResponse{requestNumberFromWire(answer.number),
                             verdictFromWire(answer.verdict),
                             Base::Tokens(answer.amount)};
    }
    if (wire.__isset.claimRelay) {
        const Wire::ClaimRelay &relay = wire.claimRelay;
        return AllocationRelayRequest{
            requestNumberFromWire(relay.number),
            {Base::ProgramId(relay.program),
             Programs::AllocationVersion(static_cast<std::uint64_t>(relay.expectedVersion)),
             Base::Tokens(relay.total),
             Base::WriteId(relay.writeId),
             std::chrono::milliseconds(relay.retentionMs)}};
    }
    if (wire.__isset.claimRelayAnswer) {
        return AllocationRelayResponse{requestNumberFromWire(wire.claimRelayAnswer.number),
                                       outcomeFromWire(wire.claimRelayAnswer)};
    }
    if (wire.__isset.notice) {
        return Notice{};
    }
    if (wire.__isset.limitReport) {
        const auto report = reportFromWire(wire.limitReport);
        return report ? std::optional<PeerBody>(*report) : std::nullopt;
    }
    if (wire.__isset.serverPermitRequest) {
        const Wire::ServerPermitRequest &request = wire.serverPermitRequest;
        const auto report = reportFromWire(request.report);
        if (!report) {
            return std::nullopt;
        }
        return ServerPermitRequest{requestNumberFromWire(request.number),
                                   *report,
                                   {urgencyFromWire(request.urgency), request.mayWait},
                                   coldFromWire(request)};
    }
    if (wire.__isset.serverPermitReturn) {
        return ServerPermitReturn{Base::ServerId(wire.serverPermitReturn.server)};
    }
    if (wire.__isset.streamNotice) {
        return noticeFromWire(wire.streamNotice);
    }
    if (wire.__isset.streamVersionRequest) {
        const Wire::StreamVersionRequest &request = wire.streamVersionRequest;
        return StreamVersionRequest{
            requestNumberFromWire(request.number),
            {request.attempt, keyFromWire(request.__isset.requestKey, request.requestKey)}};
    }
    if (wire.__isset.streamVersionAnswer) {
        return StreamVersionResponse{requestNumberFromWire(wire.streamVersionAnswer.number),
                                     findingFromWire(wire.streamVersionAnswer)};
    }
    if (wire.__isset.overdraftNotice) {
        const Wire::OverdraftNotice &notice = wire.overdraftNotice;
        if (notice.limit < 0 || notice.retentionMs < 0) {
            return std::nullopt;
        }
        return OverdraftNotice{requestNumberFromWire(notice.number),
                               {Base::ProgramId(notice.program),
                                Base::Tokens(notice.limit),
                                std::chrono::milliseconds(notice.retentionMs)}};
    }
    if (wire.__isset.overdraftRecorded) {
        return OverdraftRecorded{requestNumberFromWire(wire.overdraftRecorded.number)};
    }
    if (wire.__isset.crashReport) {
        const Wire::CrashReport &report = wire.crashReport;
        const Base::TeamId team(report.team);
        return Dispatch::CrashReport{
            {{team, Dispatch::RequestScope::Path, static_cast<std::uint64_t>(report.pathHash)},
             {team, Dispatch::RequestScope::Exact, static_cast<std::uint64_t>(report.exactHash)}},
            {Base::ServerId(report.server), static_cast<std::uint64_t>(report.startedAt)},
            stageFromWire(report.stage),
            std::chrono::microseconds(std::max<std::int64_t>(0, report.atServerUs)),
            std::chrono::microseconds(std::max<std::int64_t>(0, report.ageUs))};
    }
    if (wire.__isset.quarantineNotice) {
        return QuarantineNotice{reportsFromWire(wire.quarantineNotice.reports)};
    }
    if (wire.__isset.relayNotice) {
        return RelayNotice{};
    }
    if (wire.__isset.stillWorking) {
        return RequestInProgress{requestNumberFromWire(wire.stillWorking.number)};
    }
    return std::nullopt;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    Wire::PeerMessage wire;
    wire.sender = message.sender.text();
    wire.routingVersion = static_cast<std::int64_t>(message.routingVersion.value());
    wire.body = toWire(message.body);
    if (message.servers) {
        wire.__set_servers(toWire(*message.servers));
    }
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    wire.write(&protocol);
    return buffer->getBufferAsString();
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    try {
        std::string copy(bytes);
        const auto buffer = std::make_shared<TMemoryBuffer>(
            reinterpret_cast<std::uint8_t *>(copy.data()), static_cast<std::uint32_t>(copy.size()));
        TCompactProtocol protocol(buffer);
        Wire::PeerMessage wire;
        wire.read(&protocol);
        const std::optional<PeerBody> body = fromWire(wire.body);
        if (!body || wire.routingVersion < 0) {
            return std::nullopt;
        }
        PeerMessage message{Base::VmId(wire.sender),
                            Base::ConfigVersion(static_cast<std::uint64_t>(wire.routingVersion)),
                            *body,
                            {}};
        if (wire.__isset.servers) {
            message.servers = reportFromWire(wire.servers);
        }
        return message;
    } catch (const apache::thrift::TException &) {
        return std::nullopt; // the caller counts undecodable messages
    }
}

} // namespace Proxy
