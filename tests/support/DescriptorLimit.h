#pragma once

#include <sys/resource.h>

namespace Greengage {

/// While it exists, this process and those that it starts may have at most `limit` open descriptors.
class DescriptorLimit {
public:
    explicit DescriptorLimit(rlim_t limit)
    {
        getrlimit(RLIMIT_NOFILE, &this->before);
        rlimit lowered { limit, this->before.rlim_max };
        setrlimit(RLIMIT_NOFILE, &lowered);
    }

    ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &this->before); }

    DescriptorLimit(const DescriptorLimit&) = delete;
    DescriptorLimit& operator=(const DescriptorLimit&) = delete;

private:
    rlimit before {};
};

} // namespace Greengage
