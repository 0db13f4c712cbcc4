#include "test/benchmark/plot.h"

#include <cairo-svg.h>
#include <cairo.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>

namespace benchmark {
namespace {

constexpr double kWidth = 720;
constexpr double kHeight = 420;
constexpr double kLeft = 60;
constexpr double kTop = 40;
constexpr double kPlotWidth = 470;
constexpr double kPlotHeight = 320;
constexpr double kFontSize = 13;

struct color {
  double red;
  double green;
  double blue;
};

constexpr std::array<color, 6> kColors{{{0.12, 0.38, 0.65},
                                        {0.80, 0.33, 0.10},
                                        {0.15, 0.55, 0.25},
                                        {0.50, 0.25, 0.60},
                                        {0.60, 0.50, 0.10},
                                        {0.35, 0.35, 0.35}}};

struct surface_closer {
  void operator()(cairo_surface_t* surface) const {
    cairo_surface_destroy(surface);
  }
};

struct context_closer {
  void operator()(cairo_t* context) const { cairo_destroy(context); }
};

void Write(cairo_t* context, double x, double y, const std::string& text) {
  cairo_move_to(context, x, y);
  cairo_show_text(context, text.c_str());
}

/// Returns the smallest step of 1, 2 or 5 times a power of ten that gives at
/// most six intervals.
double MarkStep(double largest) {
  constexpr double kMaxIntervals = 6;
  const double power =
      std::pow(10.0, std::floor(std::log10(largest / kMaxIntervals)));
  for (const double factor : {1.0, 2.0, 5.0}) {
    if (largest / (power * factor) <= kMaxIntervals) {
      return power * factor;
    }
  }
  return power * 10.0;
}

void DrawAxes(cairo_t* context, const std::string& unit, double largest) {
  cairo_set_source_rgb(context, 0, 0, 0);
  cairo_set_line_width(context, 1);
  cairo_rectangle(context, kLeft, kTop, kPlotWidth, kPlotHeight);
  cairo_stroke(context);
  const double step = MarkStep(largest);
  for (double mark = 0; mark <= largest; mark += step) {
    const double x = kLeft + kPlotWidth * mark / largest;
    cairo_move_to(context, x, kTop + kPlotHeight);
    cairo_line_to(context, x, kTop + kPlotHeight + 5);
    cairo_stroke(context);
    Write(context, x - 10, kTop + kPlotHeight + 20,
          std::to_string(std::lround(mark)));
  }
  constexpr int kPercentStep = 25;
  for (int percent = 0; percent <= 100; percent += kPercentStep) {
    const double y = kTop + kPlotHeight * (100 - percent) / 100;
    cairo_move_to(context, kLeft - 5, y);
    cairo_line_to(context, kLeft, y);
    cairo_stroke(context);
    Write(context, kLeft - 45, y + 4, std::to_string(percent) + "%");
  }
  Write(context, kLeft + kPlotWidth / 2 - 40, kTop + kPlotHeight + 42, unit);
}

void DrawSeries(cairo_t* context, const plotted_series& series, double largest,
                std::size_t index) {
  const color& drawn = kColors.at(index % kColors.size());
  cairo_set_source_rgb(context, drawn.red, drawn.green, drawn.blue);
  cairo_set_line_width(context, 1.8);
  double y = kTop + kPlotHeight;
  cairo_move_to(context, kLeft, y);
  for (std::size_t i = 0; i < series.values.size(); ++i) {
    const double x = kLeft + kPlotWidth * series.values[i] / largest;
    cairo_line_to(context, x, y);
    y = kTop +
        kPlotHeight * (1.0 - static_cast<double>(i + 1) /
                                 static_cast<double>(series.values.size()));
    cairo_line_to(context, x, y);
  }
  cairo_line_to(context, kLeft + kPlotWidth, y);
  cairo_stroke(context);
  constexpr double kLineHeight = 20;
  Write(context, kLeft + kPlotWidth + 14,
        kTop + 12 + kLineHeight * static_cast<double>(index), series.name);
}

}  // namespace

bool PlotDistributions(const std::string& path, const std::string& title,
                       const std::string& unit,
                       std::vector<plotted_series> series) {
  double largest = 1.0;
  for (plotted_series& each : series) {
    std::sort(each.values.begin(), each.values.end());
    if (!each.values.empty()) {
      largest = std::max(largest, each.values.back() * 1.05);
    }
  }
  const std::unique_ptr<cairo_surface_t, surface_closer> surface(
      cairo_svg_surface_create(path.c_str(), kWidth, kHeight));
  const std::unique_ptr<cairo_t, context_closer> context(
      cairo_create(surface.get()));
  cairo_set_source_rgb(context.get(), 1, 1, 1);
  cairo_paint(context.get());
  cairo_set_source_rgb(context.get(), 0, 0, 0);
  cairo_set_font_size(context.get(), kFontSize);
  Write(context.get(), kLeft, kTop - 16, title);
  DrawAxes(context.get(), unit, largest);
  for (std::size_t i = 0; i < series.size(); ++i) {
    DrawSeries(context.get(), series[i], largest, i);
  }
  cairo_surface_finish(surface.get());
  return cairo_surface_status(surface.get()) == CAIRO_STATUS_SUCCESS;
}

}  // namespace benchmark
