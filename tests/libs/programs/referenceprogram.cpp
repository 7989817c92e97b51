#include "referenceprogram.h"

#include <base/random.h>
#include <base/visitor.h>

namespace ProgramsTest {

namespace {

constexpr std::int64_t templateTokens = 4;

} // namespace

ScriptedCall scriptedCall(const Base::ProgramId &program, Base::CallNumber number)
{
    const std::string name = program.text() + "#" + std::to_string(number.value());
    Base::Random random(Base::hash64(name));
    ScriptedCall call;
    const std::uint64_t draw = random.below(10);
    call.kind = draw < 5 ? Contracts::ServiceKind::Model : Contracts::ServiceKind::Plain;
    call.isIdempotent = draw < 6;
    call.input = name + std::string(random.below(30), '.');
    return call;
}

std::string answer(const std::vector<Exchange> &history, const std::string &input)
{
    std::string all;
    for (const Exchange &exchange : history) {
        all += exchange.input + "|" + exchange.output + "|";
    }
    return "answer-" + std::to_string(Base::hash64(all + input));
}

Base::Tokens promptTokens(const std::vector<Exchange> &history, const std::string &input)
{
    std::int64_t tokens = static_cast<std::int64_t>(input.size()) + templateTokens;
    for (const Exchange &exchange : history) {
        const size_t bytes = exchange.input.size() + exchange.output.size();
        tokens += static_cast<std::int64_t>(bytes) + 2 * templateTokens;
    }
    return Base::Tokens(tokens);
}

std::map<Base::CallNumber, std::string> runReference(const Base::ProgramId &program,
                                                     std::uint32_t callCount,
                                                     const std::set<Base::CallNumber> &errors)
{
    std::map<Base::CallNumber, std::string> outputs;
    std::vector<Exchange> history;
    for (Base::CallNumber number(1); number.value() <= callCount; number = number.next()) {
        if (errors.contains(number)) {
            continue;
        }
        const std::string input = scriptedCall(program, number).input;
        const std::string output = answer(history, input);
        history.push_back({input, output});
        outputs.emplace(number, output);
    }
    return outputs;
}

std::uint32_t JournalView::callCount() const
{
    return static_cast<std::uint32_t>(outputs.size() + errors.size());
}

JournalView viewOf(const std::vector<Journal::Record> &journal, const Base::ProgramId &program)
{
    JournalView view;
    const auto readResult = [&](const Journal::CallResult &result) {
        if (result.program != program) {
            return;
        }
        view.charged += result.charged;
        if (result.error && result.error->ran == Base::Ran::NotRun) {
            return;
        }
        if (result.error) {
            view.errors.insert(result.number);
            return;
        }
        view.errors.erase(result.number);
        view.outputs[result.number] = result.output;
    };
    const auto readCreated = [&](const Journal::ProgramCreated &created) {
        if (created.program == program) {
            view.isCreated = true;
            view.budget = created.budget;
        }
    };
    const auto readReserved = [&](const Journal::ChildReserved &child) {
        if (child.parent == program) {
            view.liveChildren += child.reserved;
        }
    };
    const auto readSettled = [&](const Journal::ChildSettled &child) {
        if (child.parent == program) {
            view.charged += child.spent;
            view.liveChildren -= viewOf(journal, child.child).budget;
        }
    };
    const auto readEnded = [&](const Journal::ProgramEnded &ended) {
        view.isEnded = view.isEnded || ended.program == program;
    };
    for (const Journal::Record &record : journal) {
        std::visit(Base::Visitor{readResult,
                                 readCreated,
                                 readReserved,
                                 readSettled,
                                 readEnded,
                                 // Intents, and records that the program table never writes.
                                 [](const auto &) {}},
                   record.body);
    }
    return view;
}

} // namespace ProgramsTest
