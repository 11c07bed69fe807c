#pragma once

/// State of a call that must not be repeated, expressed as types: only a call that was never sent can
/// be refused, and a sent call can only end as done or unknown.

#include "limpettrestle/limpettrestle.h"

namespace limpettrestle {

/// Final outcome of one submission.
class SubmissionResult {
public:
    Outcome outcome() const { return outcome_; }
    ResultCode code() const { return code_; }
    const std::string& body() const { return body_; }

private:
    friend class UnsentCall;
    friend class SentCall;
    SubmissionResult(Outcome outcome, ResultCode code, std::string body)
        : outcome_(outcome)
        , code_(code)
        , body_(std::move(body))
    {
    }

    Outcome outcome_;
    ResultCode code_;
    std::string body_;
};

/// A call of which a byte may have reached a backend server. It cannot become unsent again.
class SentCall {
public:
    SentCall(SentCall&&) = default;
    SentCall& operator=(SentCall&&) = default;
    SentCall(const SentCall&) = delete;

    SubmissionResult done(std::string body) && { return { Outcome::Done, ResultCode::Ok, std::move(body) }; }
    SubmissionResult unknown() && { return { Outcome::Unknown, ResultCode::OutcomeUnknown, {} }; }

private:
    friend class UnsentCall;
    SentCall() = default;
};

/// A call that has not been handed to a transport. It is move-only, so that it is sent at most once.
class UnsentCall {
public:
    UnsentCall() = default;
    UnsentCall(UnsentCall&&) = default;
    UnsentCall& operator=(UnsentCall&&) = default;
    UnsentCall(const UnsentCall&) = delete;

    SubmissionResult refuse(ResultCode code) && { return { Outcome::Refused, code, {} }; }
    /// Consumes the call at the point at which it is handed to a transport.
    SentCall send() && { return {}; }
};

} // namespace limpettrestle
