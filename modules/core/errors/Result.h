#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace Greengage {

/// Either a value or an error. Accessing the alternative that is not present terminates the process, so callers check
/// `has_value` first or propagate the error with BOOST_OUTCOME_TRY.
template <typename Value, typename Error>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<Value, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using BOOST_OUTCOME_V2_NAMESPACE::failure;
using BOOST_OUTCOME_V2_NAMESPACE::success;

} // namespace Greengage
