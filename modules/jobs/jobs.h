// Purpose: jobs of several steps, whose tasks are placed on leased workers. Tables of jobs, workers and attempts, the
// systems that make decisions on them, and the stored form of jobs and their progress. Uses no socket, clock or log.
// Dependencies: core, jsoncpp.
#pragma once

#include <jobs/board/Attempt.h>
#include <jobs/board/JobBoard.h>
#include <jobs/board/JobRow.h>
#include <jobs/board/WorkerRow.h>
#include <jobs/codec/JobProgressCodec.h>
#include <jobs/codec/JobRecordCodec.h>
#include <jobs/model/JobPolicies.h>
#include <jobs/model/JobRecord.h>
#include <jobs/model/JobState.h>
#include <jobs/model/StartOutcome.h>
#include <jobs/model/TaskName.h>
#include <jobs/model/WorkerFacts.h>
#include <jobs/model/WorkerReport.h>
#include <jobs/systems/AdviceSystem.h>
#include <jobs/systems/JobObjective.h>
#include <jobs/systems/PacingSystem.h>
#include <jobs/systems/PlacementSystem.h>
#include <jobs/systems/ReportSystem.h>
