// Purpose: the operators' document (model, parser, checks, merge, history) and the settings of the daemon.
// Dependencies: core, inih, jsoncpp.
#pragma once

#include <config/model/ChangeSummary.h>
#include <config/model/Document.h>
#include <config/model/DocumentRecord.h>
