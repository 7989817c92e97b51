#pragma once

#include <platform/store.h>

#include <map>
#include <vector>

namespace ContractsTest {

/// In-memory implementation of the platform's object API with conditional writes.
class FakeStore
{
public:
    Platform::StoreOutcome run(const Platform::StoreOperation &operation);

    /// All written objects, in order.
    std::vector<Platform::StoredObject> writes;

private:
    Platform::StoreOutcome put(const Platform::PutObject &put);

    std::map<Platform::ObjectKey, Platform::StoredObject> objects_;
};

} // namespace ContractsTest
