#pragma once

/// Hybrid logical clock: orders the events of all processes consistently with the messages between them.

#include "limpettrestle/limpettrestle.h"

namespace limpettrestle {

class Hlc {
public:
    explicit Hlc(const ClockI& clock)
        : clock_(clock)
    {
    }

    /// Returns the timestamp for a local event or an outgoing message.
    HlcTime tick()
    {
        const int64_t wall = wallMicros();
        if (wall > last_.wallMicros)
            last_ = { wall, 0 };
        else
            ++last_.counter;
        return last_;
    }

    /// Merges the timestamp of a received message. Timestamps more than 60 s ahead of the local clock are ignored.
    void merge(HlcTime other)
    {
        if (other.wallMicros - wallMicros() > kMaxAheadMicros)
            return;
        if (other > last_)
            last_ = other;
    }

private:
    static constexpr int64_t kMaxAheadMicros = 60'000'000;

    int64_t wallMicros() const
    {
        return std::chrono::duration_cast<Micros>(clock_.wallNow().time_since_epoch()).count();
    }

    const ClockI& clock_;
    HlcTime last_;
};

} // namespace limpettrestle
