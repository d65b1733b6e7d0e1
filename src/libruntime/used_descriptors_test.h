/// \file
/// For tests: takes the process's free file descriptors.
#pragma once

#include <sys/resource.h>
#include <unistd.h>

#include <utility>
#include <vector>

namespace bluebell::test {

/// Uses up the file descriptors of this process until it is released or destroyed.
class used_descriptors {
public:
    used_descriptors()
    {
        ::getrlimit(RLIMIT_NOFILE, &limit_);
        const int first_free = ::dup(0);
        rlimit low = limit_;
        low.rlim_cur = static_cast<rlim_t>(first_free) + max_used;
        ::setrlimit(RLIMIT_NOFILE, &low);
        for (int d = first_free; d >= 0; d = ::dup(0))
            used_.push_back(d);
    }
    used_descriptors(const used_descriptors&) = delete;
    used_descriptors& operator=(const used_descriptors&) = delete;
    ~used_descriptors() { release(); }
    void release()
    {
        for (const int d : std::exchange(used_, {}))
            ::close(d);
        ::setrlimit(RLIMIT_NOFILE, &limit_);
    }

private:
    static constexpr rlim_t max_used = 16;
    rlimit limit_{};
    std::vector<int> used_;
};

} // namespace bluebell::test
