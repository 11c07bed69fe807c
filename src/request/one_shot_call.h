#pragma once

/// Outcomes of a call that may not be repeated, as types: a refusal can be made only from a call
/// that was never sent, and a sent call can only be done or unknown.

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

/// A call of which a byte may have reached a server. There is no way back.
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

/// A call that no transport has seen. Move-only, so that it is sent once at most.
class UnsentCall {
public:
    UnsentCall() = default;
    UnsentCall(UnsentCall&&) = default;
    UnsentCall& operator=(UnsentCall&&) = default;
    UnsentCall(const UnsentCall&) = delete;

    SubmissionResult refuse(ResultCode code) && { return { Outcome::Refused, code, {} }; }
    /// Marks the point at which the call is handed to a transport.
    SentCall send() && { return {}; }
};

} // namespace limpettrestle
