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

/// A working day in small: six workspaces whose queues burst in turn to five times their mean, two of which have a
/// backlog of long batch work, urgent work now and then, declared sizes far off, jobs that never run, workers that fail
/// everything, and one maintenance wave over all workers.
class PolicyScenario {
public:
    PolicyScenario(const SiteKind&, const PolicyVariant&, unsigned seed);

    PolicyFigures run();

private:
    void setTeams();
    void submitSecond(int second);
    void submitOne(int team, Priority, int minSeconds, int maxSeconds);
    void sampleShares();
    void sampleWave(WaveRunner&);
    void gatherUrgent();
    int pick(int low, int high) { return std::uniform_int_distribution<>(low, high)(this->random); }
    double drawReal(double low, double high) { return std::uniform_real_distribution<>(low, high)(this->random); }

    SiteKind kind;
    PolicyVariant variant;
    std::mt19937 random;
    FakeSite site;
    std::vector<Team> teams;
    /// How far the declarations of each kind of job are off.
    std::map<std::string, double> declaredFactors;
    int nextJob = 0;
    double distanceSum = 0;
    int distanceCount = 0;
    double utilisationSum = 0;
    int utilisationCount = 0;
    PolicyFigures figures;
};

} // namespace Greengage
