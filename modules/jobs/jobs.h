// Purpose: jobs of several steps, whose tasks are placed on leased workers. Tables of jobs, workers and attempts, the
// systems that make decisions on them, and the stored form of jobs and their progress. Uses no socket, clock or log.
// Dependencies: core, jsoncpp.
#pragma once

#include <jobs/codec/JobProgressCodec.h>
#include <jobs/codec/JobRecordCodec.h>
#include <jobs/model/JobPolicies.h>
#include <jobs/model/JobRecord.h>
#include <jobs/model/JobState.h>
#include <jobs/model/StartOutcome.h>
#include <jobs/model/TaskName.h>
#include <jobs/model/WorkerInfo.h>
#include <jobs/model/WorkerReport.h>
#include <jobs/systems/AbsenceMonitor.h>
#include <jobs/systems/AdviceSystem.h>
#include <jobs/systems/JobObjective.h>
#include <jobs/systems/PlacementSystem.h>
#include <jobs/systems/ReportSystem.h>
#include <jobs/systems/ThrottleSystem.h>
#include <jobs/tables/Attempt.h>
#include <jobs/tables/FormerAttempt.h>
#include <jobs/tables/JobRow.h>
#include <jobs/tables/JobTables.h>
#include <jobs/tables/ReleaseReason.h>
#include <jobs/tables/WorkerRow.h>
