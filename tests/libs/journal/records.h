#pragma once

#include <journal/record.h>

namespace JournalTest {

inline Journal::Record created(const std::string &program, Base::PartitionId partition = {})
{
    Journal::ProgramCreated body;
    body.program = Base::ProgramId(program);
    body.team = Base::TeamId("club");
    body.budget = Base::Tokens(1000);
    return {partition, body};
}

inline Journal::Record intent(const std::string &program,
                              std::uint32_t number,
                              Base::PartitionId partition = {})
{
    Journal::CallIntent body;
    body.program = Base::ProgramId(program);
    body.number = Base::CallNumber(number);
    return {partition, body};
}

inline Journal::Record result(const std::string &program,
                              std::uint32_t number,
                              std::size_t outputBytes = 10,
                              Base::PartitionId partition = {})
{
    Journal::CallResult body;
    body.program = Base::ProgramId(program);
    body.number = Base::CallNumber(number);
    body.output = std::string(outputBytes, 'o');
    body.charged = Base::Tokens(2);
    return {partition, body};
}

inline Journal::Record adopted(Base::PartitionId partition = {})
{
    return {partition, Journal::PartitionAdopted{Base::Epoch(1), std::nullopt, false}};
}

} // namespace JournalTest
