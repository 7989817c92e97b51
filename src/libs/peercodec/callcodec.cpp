#include "callcodec.h"

#include <base/visitor.h>

namespace PeerCodec {

namespace {

using Base::Visitor;
using Scheduler::ForwardedReply;
using Scheduler::ForwardedRequest;

Base::Error malformed(const char *kind)
{
    return Base::Error{.code = Base::ErrorCode::Malformed,
                       .step = Base::Step::Forward,
                       .message = std::string("a peer sent an empty or unknown ") + kind};
}

PeerProtocol::WireError encodeError(const Base::Error &error)
{
    PeerProtocol::WireError wire;
    wire.code = static_cast<int>(error.code);
    wire.step = static_cast<int>(error.step);
    wire.peer = error.peer;
    wire.ran = static_cast<int>(error.ran);
    wire.message = error.message;
    if (error.retryAfter) {
        wire.__set_retryAfterUs(error.retryAfter->count());
    }
    return wire;
}

/// Values from a newer version of the protocol are mapped to the last known value.
template<typename Enum>
Enum toEnum(int value, Enum last)
{
    return value < 0 || value > static_cast<int>(last) ? last : static_cast<Enum>(value);
}

Base::Error decodeError(const PeerProtocol::WireError &wire)
{
    Base::Error error;
    error.code = toEnum(wire.code, Base::ErrorCode::Internal);
    error.step = toEnum(wire.step, Base::Step::Configure);
    error.peer = wire.peer;
    error.ran = wire.ran == 0 ? Base::Ran::NotRun
                              : (wire.ran == 2 ? Base::Ran::Ran : Base::Ran::MayHaveRun);
    error.message = wire.message;
    if (wire.__isset.retryAfterUs) {
        error.retryAfter = Base::Duration(wire.retryAfterUs);
    }
    return error;
}

PeerProtocol::WireTurn encodeTurn(const CallerApi::TurnReply &turn)
{
    PeerProtocol::WireTurn wire;
    wire.number = static_cast<std::int32_t>(turn.number.value());
    wire.serviceId = turn.service.text();
    wire.server = turn.server.text();
    wire.input = turn.input;
    wire.output = turn.output;
    if (turn.error) {
        wire.__set_error(encodeError(*turn.error));
    }
    wire.promptTokens = turn.promptTokens.value();
    wire.outputTokens = turn.outputTokens.value();
    return wire;
}

CallerApi::TurnReply decodeTurn(const PeerProtocol::WireTurn &wire)
{
    CallerApi::TurnReply turn;
    turn.number = Base::CallNumber(static_cast<std::uint32_t>(wire.number));
    turn.service = Base::ServiceId(wire.serviceId);
    turn.server = Base::ServerId(wire.server);
    turn.input = wire.input;
    turn.output = wire.output;
    if (wire.__isset.error) {
        turn.error = decodeError(wire.error);
    }
    turn.promptTokens = Base::Tokens(wire.promptTokens);
    turn.outputTokens = Base::Tokens(wire.outputTokens);
    return turn;
}

PeerProtocol::ForwardCreate encodeCreate(const Scheduler::CreateUnderId &create)
{
    PeerProtocol::ForwardCreate wire;
    wire.program = create.program.text();
    wire.budget = create.request.budget.value();
    wire.maxCalls = static_cast<std::int32_t>(create.request.maxCalls);
    if (create.request.deadline) {
        wire.__set_deadlineUs(create.request.deadline->count());
    }
    if (create.request.parent) {
        wire.__set_parent(create.request.parent->text());
    }
    return wire;
}

Scheduler::CreateUnderId decodeCreate(const PeerProtocol::ForwardCreate &wire)
{
    Scheduler::CreateUnderId create;
    create.program = Base::ProgramId(wire.program);
    create.request.budget = Base::Tokens(wire.budget);
    create.request.maxCalls = static_cast<std::uint32_t>(wire.maxCalls);
    if (wire.__isset.deadlineUs) {
        create.request.deadline = Base::Duration(wire.deadlineUs);
    }
    if (wire.__isset.parent) {
        create.request.parent = Base::ProgramId(wire.parent);
    }
    return create;
}

PeerProtocol::ForwardCall encodeCall(const CallerApi::SubmitCallRequest &call)
{
    PeerProtocol::ForwardCall wire;
    wire.program = call.program.text();
    wire.number = static_cast<std::int32_t>(call.number.value());
    wire.serviceId = call.service.text();
    wire.input = call.input;
    wire.isStream = call.isStream;
    if (call.maxOutput) {
        wire.__set_maxOutput(call.maxOutput->value());
    }
    wire.bodyHash = static_cast<std::int64_t>(call.bodyHash.value());
    return wire;
}

CallerApi::SubmitCallRequest decodeCall(const PeerProtocol::ForwardCall &wire)
{
    CallerApi::SubmitCallRequest call;
    call.program = Base::ProgramId(wire.program);
    call.number = Base::CallNumber(static_cast<std::uint32_t>(wire.number));
    call.service = Base::ServiceId(wire.serviceId);
    call.input = wire.input;
    call.isStream = wire.isStream;
    if (wire.__isset.maxOutput) {
        call.maxOutput = Base::Tokens(wire.maxOutput);
    }
    call.bodyHash = Base::BodyHash(static_cast<std::uint64_t>(wire.bodyHash));
    return call;
}

PeerProtocol::ReplyDescription encodeDescription(const CallerApi::DescriptionReply &description)
{
    PeerProtocol::ReplyDescription wire;
    wire.program = description.program.text();
    wire.state = description.state;
    wire.budget = description.budget.value();
    wire.spent = description.spent.value();
    wire.budgetLeft = description.budgetLeft.value();
    wire.nextNumber = static_cast<std::int32_t>(description.nextNumber.value());
    for (const Base::ProgramId &child : description.children) {
        wire.children.push_back(child.text());
    }
    for (const CallerApi::TurnReply &turn : description.turns) {
        wire.turns.push_back(encodeTurn(turn));
    }
    return wire;
}

CallerApi::DescriptionReply decodeDescription(const PeerProtocol::ReplyDescription &wire)
{
    CallerApi::DescriptionReply description;
    description.program = Base::ProgramId(wire.program);
    description.state = wire.state;
    description.budget = Base::Tokens(wire.budget);
    description.spent = Base::Tokens(wire.spent);
    description.budgetLeft = Base::Tokens(wire.budgetLeft);
    description.nextNumber = Base::CallNumber(static_cast<std::uint32_t>(wire.nextNumber));
    for (const std::string &child : wire.children) {
        description.children.emplace_back(child);
    }
    for (const PeerProtocol::WireTurn &turn : wire.turns) {
        description.turns.push_back(decodeTurn(turn));
    }
    return description;
}

} // namespace

PeerProtocol::ForwardedRequest encodeRequest(const ForwardedRequest &request)
{
    PeerProtocol::ForwardedRequest wire;
    wire.requestId = static_cast<std::int64_t>(request.request.value());
    wire.team = request.team.text();
    wire.key = request.key.text();
    std::visit(Visitor{[&](const Scheduler::CreateUnderId &create) {
                           wire.body.__set_create(encodeCreate(create));
                       },
                       [&](const CallerApi::SubmitCallRequest &call) {
                           wire.body.__set_call(encodeCall(call));
                       },
                       [&](const CallerApi::DescribeProgramRequest &describe) {
                           PeerProtocol::ForwardDescribe body;
                           body.program = describe.program.text();
                           wire.body.__set_describe(body);
                       },
                       [&](const CallerApi::EndProgramRequest &end) {
                           PeerProtocol::ForwardEnd body;
                           body.program = end.program.text();
                           wire.body.__set_finish(body);
                       }},
               request.body);
    return wire;
}

Base::Result<ForwardedRequest> decodeRequest(const PeerProtocol::ForwardedRequest &wire)
{
    ForwardedRequest request;
    request.request = Base::RequestId(static_cast<std::uint64_t>(wire.requestId));
    request.team = Base::TeamId(wire.team);
    request.key = Base::KeyId(wire.key);
    const PeerProtocol::ForwardedBody &body = wire.body;
    if (body.__isset.create) {
        request.body = decodeCreate(body.create);
    } else if (body.__isset.call) {
        request.body = decodeCall(body.call);
    } else if (body.__isset.describe) {
        request.body = CallerApi::DescribeProgramRequest{Base::ProgramId(body.describe.program)};
    } else if (body.__isset.finish) {
        request.body = CallerApi::EndProgramRequest{Base::ProgramId(body.finish.program)};
    } else {
        return malformed("request");
    }
    return request;
}

PeerProtocol::ForwardedReply encodeReply(const ForwardedReply &reply)
{
    PeerProtocol::ForwardedReply wire;
    wire.requestId = static_cast<std::int64_t>(reply.request.value());
    PeerProtocol::ForwardedReplyBody &body = wire.body;
    std::visit(Visitor{[&](const CallerApi::CreatedReply &created) {
                           PeerProtocol::ReplyCreated value;
                           value.program = created.program.text();
                           body.__set_created(value);
                       },
                       [&](const CallerApi::OutputReply &output) {
                           PeerProtocol::ReplyOutput value;
                           value.text = output.text;
                           body.__set_output(value);
                       },
                       [&](const CallerApi::DoneReply &done) {
                           PeerProtocol::ReplyDone value;
                           value.turn = encodeTurn(done.turn);
                           value.isRepeat = done.isRepeat;
                           body.__set_done(value);
                       },
                       [&](const CallerApi::DescriptionReply &description) {
                           body.__set_description(encodeDescription(description));
                       },
                       [&](const CallerApi::EndedReply &ended) {
                           PeerProtocol::ReplyEnded value;
                           value.program = ended.program.text();
                           body.__set_ended(value);
                       },
                       [&](const CallerApi::ServiceReply &service) {
                           PeerProtocol::ReplyService value;
                           value.status = service.status;
                           value.contentType = service.contentType;
                           value.body = service.body;
                           body.__set_serviceReply(value);
                       },
                       [&](const Base::Error &error) { body.__set_error(encodeError(error)); }},
               reply.reply);
    return wire;
}

Base::Result<ForwardedReply> decodeReply(const PeerProtocol::ForwardedReply &wire)
{
    ForwardedReply reply;
    reply.request = Base::RequestId(static_cast<std::uint64_t>(wire.requestId));
    const PeerProtocol::ForwardedReplyBody &body = wire.body;
    if (body.__isset.created) {
        reply.reply = CallerApi::CreatedReply{Base::ProgramId(body.created.program)};
    } else if (body.__isset.output) {
        reply.reply = CallerApi::OutputReply{body.output.text};
    } else if (body.__isset.done) {
        reply.reply = CallerApi::DoneReply{decodeTurn(body.done.turn), body.done.isRepeat};
    } else if (body.__isset.description) {
        reply.reply = decodeDescription(body.description);
    } else if (body.__isset.ended) {
        reply.reply = CallerApi::EndedReply{Base::ProgramId(body.ended.program)};
    } else if (body.__isset.serviceReply) {
        reply.reply = CallerApi::ServiceReply{
            body.serviceReply.status, body.serviceReply.contentType, body.serviceReply.body};
    } else if (body.__isset.error) {
        reply.reply = decodeError(body.error);
    } else {
        return malformed("reply");
    }
    return reply;
}

} // namespace PeerCodec
