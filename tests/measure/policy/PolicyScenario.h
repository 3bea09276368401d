#pragma once

#include "PolicyFigures.h"
#include "PolicyVariant.h"
#include "SiteKind.h"
#include "WaveRunner.h"

#include <modules/fleet/tests/placement/FakeSite.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace Greengage {

/// Simulates a scaled-down working day. The queues of six workspaces, one team each, burst in turn to five times their
/// mean load; two of them have a backlog of long batch jobs, and urgent jobs arrive now and then. Declared sizes are
/// far from the actual ones, some jobs can never run, some workers fail every task, and one maintenance wave covers all
/// workers.
class PolicyScenario {
public:
    PolicyScenario(const SiteKind&, const PolicyVariant&, unsigned seed);

    PolicyFigures run();

private:
    void setTeams();
    void submitJobsOfSecond(int second);
    void submitJob(int team, Priority, int minSeconds, int maxSeconds);
    void sampleShares();
    void sampleWave(WaveRunner&);
    void collectJobFigures();
    int drawInteger(int low, int high) { return std::uniform_int_distribution<>(low, high)(this->random); }
    double drawReal(double low, double high) { return std::uniform_real_distribution<>(low, high)(this->random); }

    SiteKind kind;
    PolicyVariant variant;
    std::mt19937 random;
    FakeSite site;
    std::vector<Team> teams;
    /// Declared size divided by actual size, by team and kind of job.
    std::map<std::string, double> declaredFactors;
    int nextJob = 0;
    double distanceSum = 0;
    int distanceCount = 0;
    double utilisationSum = 0;
    int utilisationCount = 0;
    PolicyFigures figures;
};

} // namespace Greengage
