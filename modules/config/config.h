// Purpose: the operators' document (model, parser, validation, merge, change history), its JSON codecs, access keys and
// the daemon's settings.
// Dependencies: core, inih, jsoncpp.
#pragma once

#include <config/acceptance/AcceptanceOutcome.h>
#include <config/acceptance/DocumentAcceptance.h>
#include <config/acceptance/DocumentSubmission.h>
#include <config/admin/AdminCodec.h>
#include <config/admin/StatusCodec.h>
#include <config/document/DocumentCodec.h>
#include <config/document/DocumentParser.h>
#include <config/errors/ConfigError.h>
#include <config/errors/ConfigErrors.h>
#include <config/json/JsonText.h>
#include <config/keys/GeneratedKey.h>
#include <config/keys/KeyGenerator.h>
#include <config/keys/KeyVerifier.h>
#include <config/keys/VerifiedKey.h>
#include <config/merge/DocumentDiff.h>
#include <config/merge/SectionMerge.h>
#include <config/merge/TextBlocks.h>
#include <config/model/ChangeSummary.h>
#include <config/model/Document.h>
#include <config/model/DocumentRecord.h>
#include <config/settings/DaemonSettings.h>
#include <config/settings/SettingsParser.h>
