#include "base/metrics.h"

#include <criterion/criterion.h>

using rattanramp::Metrics;

// Guards against labels being lost when quantiles and suffixes are added to a series name.
Test(metrics, prometheus_text_keeps_labels) {
  Metrics metrics;
  metrics.Count("requests_total{service=\"verdicts\"}");
  for (int i = 1; i <= 1000; ++i) {
    metrics.Observe("first_token_ms{service=\"verdicts\"}", i);
  }
  const std::string text = metrics.PrometheusText();
  cr_assert(text.find("rattanramp_requests_total{service=\"verdicts\"} 1\n") != std::string::npos);
  cr_assert(text.find("first_token_ms{service=\"verdicts\",quantile=\"0.95\"}") !=
            std::string::npos);
  cr_assert(text.find("first_token_ms_count{service=\"verdicts\"} 1000\n") != std::string::npos);
}
