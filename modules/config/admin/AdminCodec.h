#pragma once

#include <config/acceptance/DocumentSubmission.h>
#include <config/acceptance/SectionConflicts.h>
#include <config/admin/ApplyAnswer.h>
#include <config/errors/ConfigErrors.h>
#include <config/json/CodecError.h>
#include <core/errors/Result.h>

#include <string>
#include <string_view>

namespace Greengage {

/// Encodes and decodes the JSON bodies of submissions and of the daemon's answers to them. Decoding rejects missing and
/// mistyped members. Unknown members are ignored in answers, so that a newer daemon can add members, and rejected in
/// submissions.
class AdminCodec {
public:
    static std::string encodeSubmission(const DocumentSubmission&);
    static Result<DocumentSubmission, CodecError> decodeSubmission(std::string_view json);

    /// {"revision","inForce","behind":[daemon]}
    static std::string encodeAnswer(const ApplyAnswer&);
    static Result<ApplyAnswer, CodecError> decodeAnswer(std::string_view json);

    /// {"conflicts":[{"section","changedBy","revision"}]}
    static std::string encodeConflicts(const SectionConflicts&);
    static Result<SectionConflicts, CodecError> decodeConflicts(std::string_view json);

    /// {"errors":[{"section","key","line","message"}]}
    static std::string encodeErrors(const ConfigErrors&);
    static Result<ConfigErrors, CodecError> decodeErrors(std::string_view json);
};

} // namespace Greengage
