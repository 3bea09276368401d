// Purpose: counters, gauges and latency histograms with their text exposition, and the report of error budget burn
// rates.
// Dependencies: core, Boost.Histogram, jsoncpp.
#pragma once

#include <metrics/burn/BurnCodec.h>
#include <metrics/burn/BurnReport.h>
#include <metrics/burn/BurnRow.h>
#include <metrics/burn/BurnTable.h>
#include <metrics/burn/BurnWindow.h>
#include <metrics/registry/Counter.h>
#include <metrics/registry/Gauge.h>
#include <metrics/registry/Label.h>
#include <metrics/registry/LatencyHistogram.h>
#include <metrics/registry/MetricsRegistry.h>
