#pragma once

#include <platform/store.h>

#include <map>
#include <vector>

namespace ContractsTest {

/// The platform's object API for one daemon test: conditional writes, kept in memory.
class FakeStore
{
public:
    Platform::StoreOutcome run(const Platform::StoreOperation &operation);

    /// Every object that was ever written, in order.
    std::vector<Platform::StoredObject> writes;

private:
    Platform::StoreOutcome put(const Platform::PutObject &put);

    std::map<Platform::ObjectKey, Platform::StoredObject> objects_;
};

} // namespace ContractsTest
