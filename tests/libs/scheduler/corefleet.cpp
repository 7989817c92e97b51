#include "corefleet.h"

#include <base/visitor.h>
#include <contracts/configurationcodec.h>
#include <contracts/keyhasher.h>
#include <fleet/topology.h>

namespace {

using Base::Duration;
using Base::Instant;
using Scheduler::DaemonCore;

constexpr Duration storeTime = std::chrono::milliseconds(4);
constexpr Duration storeTimeout = std::chrono::milliseconds(1000);
constexpr Duration peerTimeout = std::chrono::milliseconds(500);
constexpr std::uint16_t partitions = 64;
constexpr int tokensPerOutput = 5;

Contracts::Service service(const char *id, Contracts::ServiceKind kind, bool isIdempotent)
{
    Contracts::Service result;
    result.id = Base::ServiceId(id);
    result.kind = kind;
    result.isIdempotent = isIdempotent;
    if (kind == Contracts::ServiceKind::Model) {
        result.model = Base::ModelId("menu-1");
    } else {
        result.route = std::string("/") + id;
    }
    return result;
}

Contracts::BackendServer server(const char *id, const char *serviceId, const char *address)
{
    Contracts::BackendServer result;
    result.id = Base::ServerId(id);
    result.service = Base::ServiceId(serviceId);
    result.address = address;
    result.zone = Base::ZoneId("zone-0");
    result.slots = 64;
    return result;
}

Contracts::ConfigurationDocument makeConfiguration(const std::string &keyText)
{
    Contracts::ConfigurationDocument document;
    document.version = Base::ConfigVersion(1);
    Contracts::Team team;
    team.id = Base::TeamId("club");
    team.ratePerSecond = 1000;
    team.burst = 1000;
    team.budget = Base::Tokens(1'000'000'000);
    const auto parsed = Contracts::parseKey(keyText);
    Contracts::Key key;
    key.id = parsed->id;
    key.hash = Contracts::hashSecret(parsed->secret);
    team.keys.push_back(key);
    document.teams.push_back(team);
    document.services = {service("planner", Contracts::ServiceKind::Model, true),
                         service("orders", Contracts::ServiceKind::Plain, false),
                         service("stock", Contracts::ServiceKind::Plain, true)};
    document.servers = {server("engine-1", "planner", "10.0.0.1:8000"),
                        server("engine-2", "planner", "10.0.0.2:8000"),
                        server("tool-1", "orders", "10.0.0.3:8000"),
                        server("tool-2", "stock", "10.0.0.4:8000")};
    return document;
}

std::string makeKey()
{
    Contracts::KeySecret secret{};
    secret[0] = 1;
    return Contracts::formatKey(Base::KeyId("0a1b2c"), secret);
}

} // namespace

struct CoreFleet::Daemon
{
    size_t index = 0;
    Fleet::Daemon identity;
    std::unique_ptr<DaemonCore> core;
    std::uint64_t incarnation = 0;
    bool isListed = true;
    std::optional<Instant> pausedUntil;
    std::optional<Instant> tickAt;
    bool isHandedOver = false;
    std::set<std::uint64_t> cancelledRuns;
};

const Base::Error *CallerView::error() const
{
    if (!last) {
        return nullptr;
    }
    if (const auto *failure = std::get_if<Base::Error>(&*last)) {
        return failure;
    }
    const CallerApi::DoneReply *reply = done();
    return reply && reply->turn.error ? &*reply->turn.error : nullptr;
}

const CallerApi::DoneReply *CallerView::done() const
{
    return last ? std::get_if<CallerApi::DoneReply>(&*last) : nullptr;
}

CoreFleet::CoreFleet(size_t daemons, std::uint64_t seed)
    : random_(seed)
    , store_(seed + 1)
    , now_(Duration(std::chrono::hours(1)))
    , key_(makeKey())
    , seed_(seed)
{
    const Platform::ObjectKey key = Contracts::ConfigReplica::objectKey();
    store_.execute(Platform::PutObject{key,
                                       Platform::ObjectVersion(),
                                       Contracts::encode(makeConfiguration(key_)),
                                       Base::WriteId("setup")});
    for (size_t i = 0; i < daemons; ++i) {
        auto daemon = std::make_unique<Daemon>();
        daemon->index = i;
        daemon->identity.vm = Base::VmId("vm-" + std::to_string(i));
        daemon->identity.zone = Base::ZoneId("zone-" + std::to_string(i % 3));
        daemon->identity.address = {"10.1.0." + std::to_string(i + 1), 7083};
        daemons_.push_back(std::move(daemon));
    }
    for (const auto &daemon : daemons_) {
        start(*daemon);
    }
}

CoreFleet::~CoreFleet() = default;

std::vector<Fleet::Vm> CoreFleet::listedVms() const
{
    std::vector<Fleet::Vm> vms;
    for (const auto &daemon : daemons_) {
        if (daemon->isListed) {
            vms.push_back({daemon->identity.vm, daemon->identity.zone, Fleet::VmState::Live});
        }
    }
    return vms;
}

void CoreFleet::start(Daemon &daemon)
{
    ++daemon.incarnation;
    daemon.isListed = true;
    daemon.isHandedOver = false;
    daemon.pausedUntil.reset();
    daemon.identity.incarnation
        = Base::IncarnationId(daemon.identity.vm.text() + "-" + std::to_string(daemon.incarnation));
    Scheduler::CoreSettings settings;
    settings.self = daemon.identity;
    settings.partitionCount = partitions;
    settings.seed = seed_ * 1000 + daemon.index * 100 + daemon.incarnation;
    settings.dispatch.isBorrowingSlots = true;
    daemon.core = std::make_unique<DaemonCore>(settings);
    daemon.core->start(now_);
    daemon.core->vmsListed(listedVms(), now_);
    carryOut(daemon.index);
}

void CoreFleet::schedule(Duration delay, std::function<void()> event)
{
    events_.emplace(std::pair(now_ + delay, ++sequence_), std::move(event));
}

void CoreFleet::run(Duration duration)
{
    const Instant end = now_ + duration;
    while (!events_.empty() && events_.begin()->first.first <= end) {
        auto entry = events_.extract(events_.begin());
        now_ = entry.key().first;
        entry.mapped()();
    }
    now_ = end;
}

bool CoreFleet::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const Instant end = now_ + limit;
    while (!condition()) {
        if (events_.empty() || events_.begin()->first.first > end) {
            now_ = end;
            return condition();
        }
        auto entry = events_.extract(events_.begin());
        now_ = entry.key().first;
        entry.mapped()();
    }
    return true;
}

DaemonCore &CoreFleet::core(size_t daemon)
{
    return *daemons_.at(daemon)->core;
}

bool CoreFleet::isAlive(size_t daemon) const
{
    return daemons_.at(daemon)->core != nullptr;
}

void CoreFleet::kill(size_t daemon)
{
    daemons_.at(daemon)->core.reset();
}

void CoreFleet::unlist(size_t daemon)
{
    daemons_.at(daemon)->isListed = false;
    for (const auto &other : daemons_) {
        if (other->core) {
            deliver(other->index, other->incarnation, [this](DaemonCore &core) {
                core.vmsListed(listedVms(), now_);
            });
        }
    }
}

void CoreFleet::restart(size_t daemon)
{
    start(*daemons_.at(daemon));
}

void CoreFleet::pause(size_t daemon, Duration duration)
{
    daemons_.at(daemon)->pausedUntil = now_ + duration;
}

void CoreFleet::beginShutdown(size_t daemon)
{
    deliver(daemon, daemons_.at(daemon)->incarnation, [this](DaemonCore &core) {
        core.beginShutdown(now_);
    });
}

void CoreFleet::deliver(size_t index,
                        std::uint64_t incarnation,
                        std::function<void(DaemonCore &)> event)
{
    Daemon &daemon = *daemons_.at(index);
    if (!daemon.core || daemon.incarnation != incarnation) {
        return;
    }
    if (daemon.pausedUntil && *daemon.pausedUntil > now_) {
        schedule(*daemon.pausedUntil - now_, [this, index, incarnation, event = std::move(event)] {
            deliver(index, incarnation, event);
        });
        return;
    }
    event(*daemon.core);
    carryOut(index);
}

void CoreFleet::armTick(size_t index)
{
    Daemon &daemon = *daemons_.at(index);
    const Instant due
        = std::max(daemon.core->nextWakeUp(now_), now_ + std::chrono::milliseconds(1));
    if (daemon.tickAt && *daemon.tickAt > now_ && *daemon.tickAt <= due) {
        return;
    }
    daemon.tickAt = due;
    schedule(due - now_, [this, index, due, incarnation = daemon.incarnation] {
        if (daemons_.at(index)->tickAt == due) {
            daemons_.at(index)->tickAt.reset();
            deliver(index, incarnation, [this](DaemonCore &core) { core.tick(now_); });
        }
    });
}

void CoreFleet::carryOut(size_t index)
{
    Daemon &daemon = *daemons_.at(index);
    for (Scheduler::CoreAction &action : daemon.core->takeActions()) {
        execute(index, action);
        if (!daemon.core) {
            return;
        }
    }
    armTick(index);
}

void CoreFleet::execute(size_t index, Scheduler::CoreAction &action)
{
    Daemon &daemon = *daemons_.at(index);
    std::visit(
        Base::Visitor{[&](Scheduler::CallStore &call) { callStore(index, call); },
                      [&](Scheduler::SendToPeer &send) { sendToPeer(index, send); },
                      [&](Scheduler::AnswerCaller &answer) {
                          CallerView &view = callers_.at(answer.request.value() - 1);
                          if (auto *output = std::get_if<CallerApi::OutputReply>(&answer.reply)) {
                              view.pieces.push_back(output->text);
                              return;
                          }
                          view.last = std::move(answer.reply);
                          view.answeredAt = now_;
                      },
                      [&](Scheduler::RunModelCall &call) { runModel(index, call); },
                      [&](Scheduler::RunPlainCall &call) { runPlain(index, call); },
                      [&](const Scheduler::CancelRun &cancel) {
                          daemon.cancelledRuns.insert(cancel.id.value());
                      },
                      [&](const Scheduler::ReleaseEngineCache &order) {
                          const auto incarnation = daemon.incarnation;
                          schedule(linkDelay * 2, [this, index, incarnation, order] {
                              deliver(index, incarnation, [&](DaemonCore &core) {
                                  core.memoryReleased(order.server, order.program, now_);
                              });
                          });
                      },
                      [&](const Scheduler::ProbeServer &probe) {
                          const auto incarnation = daemon.incarnation;
                          schedule(linkDelay * 2, [this, index, incarnation, probe] {
                              deliver(index, incarnation, [&](DaemonCore &core) {
                                  core.probed(probe.server, true, now_);
                              });
                          });
                      },
                      [&](const Scheduler::IncarnationEnded &) { daemon.core.reset(); },
                      [&](const Scheduler::HandoverComplete &) { daemon.isHandedOver = true; },
                      [](const auto &) {}},
        action);
}

void CoreFleet::callStore(size_t index, Scheduler::CallStore &call)
{
    const std::uint64_t incarnation = daemons_.at(index)->incarnation;
    schedule(storeTime / 2, [this, index, incarnation, request = std::move(call.request)] {
        std::optional<Platform::StoreOutcome> outcome = store_.execute(request.operation);
        const Duration answerTime = outcome ? storeTime / 2 : storeTimeout;
        Platform::StoreReply reply{request.id,
                                   outcome ? std::move(*outcome)
                                           : Platform::StoreOutcome(Platform::StoreUnavailable{})};
        schedule(answerTime, [this, index, incarnation, reply = std::move(reply)] {
            deliver(index, incarnation, [&](DaemonCore &core) { core.storeReplied(reply, now_); });
        });
    });
}

void CoreFleet::sendToPeer(size_t index, Scheduler::SendToPeer &send)
{
    const Base::IncarnationId from = daemons_.at(index)->identity.incarnation;
    const std::uint64_t incarnation = daemons_.at(index)->incarnation;
    for (const auto &daemon : daemons_) {
        const bool isTarget = daemon->core && daemon->identity.incarnation == send.to;
        if (!isTarget || random_.chance(messageLoss)) {
            continue;
        }
        schedule(
            linkDelay,
            [this, to = daemon->index, number = daemon->incarnation, from, message = send.message] {
                deliver(
                    to, number, [&](DaemonCore &core) { core.peerMessage(from, message, now_); });
            });
        return;
    }
    schedule(peerTimeout, [this, index, incarnation, to = send.to, message = send.message] {
        deliver(
            index, incarnation, [&](DaemonCore &core) { core.peerFailed(to, {message}, now_); });
    });
}

void CoreFleet::runModel(size_t index, Scheduler::RunModelCall &call)
{
    const std::uint64_t incarnation = daemons_.at(index)->incarnation;
    const std::string name = call.program.text();
    executions_.push_back({call.server, name, call.input, now_});
    for (int token = 0; token < tokensPerOutput; ++token) {
        schedule(linkDelay + tokenTime * (token + 1),
                 [this, index, incarnation, id = call.id, token, input = call.input] {
                     deliver(index, incarnation, [&](DaemonCore &core) {
                         core.outputReceived(id, input + std::to_string(token) + " ", now_);
                     });
                 });
    }
    schedule(linkDelay + tokenTime * (tokensPerOutput + 1),
             [this, index, incarnation, id = call.id] {
                 deliver(index, incarnation, [&](DaemonCore &core) {
                     Dispatch::Usage usage;
                     usage.promptTokens = Base::Tokens(3);
                     usage.outputTokens = Base::Tokens(tokensPerOutput);
                     core.modelFinished(id, usage, now_);
                 });
             });
}

void CoreFleet::runPlain(size_t index, Scheduler::RunPlainCall &call)
{
    const std::uint64_t incarnation = daemons_.at(index)->incarnation;
    schedule(linkDelay, [this, index, incarnation, call] {
        executions_.push_back({call.server, call.callName, call.body, now_});
        schedule(toolTime + linkDelay, [this, index, incarnation, id = call.id, body = call.body] {
            deliver(index, incarnation, [&](DaemonCore &core) {
                core.plainFinished(id, {200, "application/json", "done " + body}, now_);
            });
        });
    });
}

size_t CoreFleet::call(size_t daemon, CallerApi::CallerRequest request, const std::string &key)
{
    CallerView view;
    view.sentAt = now_;
    callers_.push_back(std::move(view));
    const size_t number = callers_.size() - 1;
    Scheduler::IncomingCall incoming{
        Base::RequestId(number + 1), key.empty() ? key_ : key, std::move(request)};
    deliver(daemon, daemons_.at(daemon)->incarnation, [&](DaemonCore &core) {
        core.call(incoming, now_);
    });
    return number;
}

void CoreFleet::callerLeaves(size_t caller)
{
    for (const auto &daemon : daemons_) {
        if (daemon->core) {
            deliver(daemon->index, daemon->incarnation, [&](DaemonCore &core) {
                core.callerGone(Base::RequestId(caller + 1), now_);
            });
        }
    }
}

Base::ProgramId CoreFleet::createProgram(size_t daemon, std::int64_t budget)
{
    CallerApi::CreateProgramRequest request;
    request.budget = Base::Tokens(budget);
    const size_t number = call(daemon, request);
    runUntil([&] { return caller(number).last.has_value(); }, std::chrono::seconds(20));
    const auto &reply = caller(number).last;
    const auto *created = reply ? std::get_if<CallerApi::CreatedReply>(&*reply) : nullptr;
    return created ? created->program : Base::ProgramId();
}

size_t CoreFleet::submit(size_t daemon,
                         const Base::ProgramId &program,
                         std::uint32_t number,
                         const std::string &service,
                         const std::string &input,
                         bool isStream)
{
    CallerApi::SubmitCallRequest request;
    request.program = program;
    request.number = Base::CallNumber(number);
    request.service = Base::ServiceId(service);
    request.input = input;
    request.isStream = isStream;
    request.bodyHash = Base::BodyHash(Base::hash64(service + "/" + input));
    return call(daemon, std::move(request));
}

size_t CoreFleet::servedPartitions() const
{
    size_t served = 0;
    for (const auto &daemon : daemons_) {
        served += daemon->core ? daemon->core->servedPartitions() : 0;
    }
    return served;
}
