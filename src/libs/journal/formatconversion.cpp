#include "formatconversion.h"

#include "programconversion.h"

#include <base/visitor.h>

namespace Journal {

namespace {

Base::Epoch toEpoch(std::int64_t value)
{
    return Base::Epoch(static_cast<std::uint64_t>(value));
}

Base::PartitionId toPartition(std::int32_t value)
{
    return Base::PartitionId(static_cast<std::uint16_t>(value));
}

std::int64_t toSigned(Base::Epoch epoch)
{
    return static_cast<std::int64_t>(epoch.value());
}

Format::PartitionAdopted toFormat(const PartitionAdopted &adopted)
{
    Format::PartitionAdopted result;
    result.epoch = toSigned(adopted.epoch);
    if (adopted.predecessor) {
        result.__set_predecessor(adopted.predecessor->text());
    }
    result.isDegraded = adopted.isDegraded;
    return result;
}

PartitionAdopted fromFormat(Format::PartitionAdopted &&adopted)
{
    PartitionAdopted result;
    result.epoch = toEpoch(adopted.epoch);
    if (adopted.__isset.predecessor) {
        result.predecessor = Base::IncarnationId(std::move(adopted.predecessor));
    }
    result.isDegraded = adopted.isDegraded;
    return result;
}

Format::PartitionReleased toFormat(const PartitionReleased &released)
{
    Format::PartitionReleased result;
    result.epoch = toSigned(released.epoch);
    result.successor = released.successor.text();
    return result;
}

PartitionReleased fromFormat(Format::PartitionReleased &&released)
{
    return {toEpoch(released.epoch), Base::IncarnationId(std::move(released.successor))};
}

Format::RecordBody toFormat(const ProgramRecord &body)
{
    Format::RecordBody result;
    const auto set = [](auto &member, const auto &value, auto &&mark) {
        member = toFormat(value);
        mark();
    };
    auto &has = result.__isset;
    std::visit(
        Base::Visitor{
            [&](const ProgramCreated &value) {
                set(result.programCreated, value, [&] { has.programCreated = true; });
            },
            [&](const CallIntent &value) {
                set(result.callIntent, value, [&] { has.callIntent = true; });
            },
            [&](const CallResult &value) {
                set(result.callResult, value, [&] { has.callResult = true; });
            },
            [&](const ProgramEnded &value) {
                set(result.programEnded, value, [&] { has.programEnded = true; });
            },
            [&](const ChildReserved &value) {
                set(result.childReserved, value, [&] { has.childReserved = true; });
            },
            [&](const ChildSettled &value) {
                set(result.childSettled, value, [&] { has.childSettled = true; });
            },
            [&](const ProgramForgotten &value) {
                result.programForgotten.program = value.program.text();
                has.programForgotten = true;
            },
            [&](const ProgramRecovered &value) {
                set(result.programRecovered.state, value.state, [&] {
                    has.programRecovered = true;
                });
            },
            [&](const TurnRecovered &value) {
                set(result.turnRecovered.turn, value.turn, [&] { has.turnRecovered = true; });
            },
            [&](const PartitionAdopted &value) {
                set(result.partitionAdopted, value, [&] { has.partitionAdopted = true; });
            },
            [&](const PartitionReleased &value) {
                set(result.partitionReleased, value, [&] { has.partitionReleased = true; });
            },
            [&](const AdoptionBegun &value) {
                result.adoptionBegun.epoch = toSigned(value.epoch);
                has.adoptionBegun = true;
            }},
        body);
    return result;
}

std::optional<ProgramRecord> fromFormat(Format::RecordBody &&body)
{
    const auto &has = body.__isset;
    if (has.programCreated) {
        return Journal::fromFormat(std::move(body.programCreated));
    }
    if (has.callIntent) {
        return Journal::fromFormat(std::move(body.callIntent));
    }
    if (has.callResult) {
        return Journal::fromFormat(std::move(body.callResult));
    }
    if (has.programEnded) {
        return Journal::fromFormat(std::move(body.programEnded));
    }
    if (has.childReserved) {
        return Journal::fromFormat(std::move(body.childReserved));
    }
    if (has.childSettled) {
        return Journal::fromFormat(std::move(body.childSettled));
    }
    if (has.programForgotten) {
        return ProgramForgotten{Base::ProgramId(std::move(body.programForgotten.program))};
    }
    if (has.programRecovered) {
        return ProgramRecovered{Journal::fromFormat(std::move(body.programRecovered.state))};
    }
    if (has.turnRecovered) {
        return TurnRecovered{Journal::fromFormat(std::move(body.turnRecovered.turn))};
    }
    if (has.partitionAdopted) {
        return fromFormat(std::move(body.partitionAdopted));
    }
    if (has.partitionReleased) {
        return fromFormat(std::move(body.partitionReleased));
    }
    if (has.adoptionBegun) {
        return AdoptionBegun{toEpoch(body.adoptionBegun.epoch)};
    }
    return std::nullopt;
}

} // namespace

Format::Record toFormat(const Record &record)
{
    Format::Record result;
    result.partition = record.partition.value();
    result.body = toFormat(record.body);
    return result;
}

std::optional<Record> fromFormat(Format::Record &&record)
{
    std::optional<ProgramRecord> body = fromFormat(std::move(record.body));
    if (!body) {
        return std::nullopt;
    }
    return Record{toPartition(record.partition), std::move(*body)};
}

Format::PartitionState toFormat(const PartitionState &partition)
{
    Format::PartitionState result;
    result.partition = partition.partition.value();
    if (partition.adopted) {
        result.__set_adopted(toFormat(*partition.adopted));
    }
    if (partition.released) {
        result.__set_released(toFormat(*partition.released));
    }
    for (const ProgramState &program : partition.programs) {
        result.programs.push_back(toFormat(program));
    }
    return result;
}

PartitionState fromFormat(Format::PartitionState &&partition)
{
    PartitionState result;
    result.partition = toPartition(partition.partition);
    if (partition.__isset.adopted) {
        result.adopted = fromFormat(std::move(partition.adopted));
    }
    if (partition.__isset.released) {
        result.released = fromFormat(std::move(partition.released));
    }
    for (Format::ProgramState &program : partition.programs) {
        result.programs.push_back(fromFormat(std::move(program)));
    }
    return result;
}

} // namespace Journal
