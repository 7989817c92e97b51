#include "summary.h"

#include <algorithm>

namespace Experiment {

namespace {

constexpr double width = 760;
constexpr double panelHeight = 220;
constexpr double left = 110;
constexpr double barHeight = 6;

struct Series
{
    std::string name;
    std::string color;
    Spread PolicySummary::*value = nullptr;
    double factor = 1;
};

double largest(const std::vector<PolicySummary> &summaries, const std::vector<Series> &series)
{
    double most = 1e-9;
    for (const PolicySummary &sum : summaries) {
        for (const Series &one : series) {
            const Spread &spread = sum.*one.value;
            most = std::max(most, (spread.mean + spread.deviation) * one.factor);
        }
    }
    return most;
}

void printBar(const Spread &spread, const Series &one, double scale, double y, std::ostream &out)
{
    const double length = spread.mean * one.factor * scale;
    const double half = spread.deviation * one.factor * scale;
    const double middle = y + barHeight / 2;
    out << "<rect x='" << left << "' y='" << y << "' width='" << length << "' height='" << barHeight
        << "' fill='" << one.color << "'/>\n<line x1='" << left + std::max(0.0, length - half)
        << "' x2='" << left + length + half << "' y1='" << middle << "' y2='" << middle
        << "' stroke='black'/>\n<text x='" << left + length + half + 4 << "' y='" << middle + 3
        << "' font-size='8'>" << spread.mean * one.factor << "</text>\n";
}

void printPanel(const std::string &title,
                const std::vector<PolicySummary> &summaries,
                const std::vector<Series> &series,
                double top,
                std::ostream &out)
{
    const double scale = (width - left - 60) / largest(summaries, series);
    out << "<text x='8' y='" << top + 14 << "' font-size='12'>" << title << "</text>\n";
    double legend = 330;
    for (const Series &one : series) {
        out << "<text x='" << legend << "' y='" << top + 14 << "' font-size='10' fill='"
            << one.color << "'>" << one.name << "</text>\n";
        legend += 60;
    }
    const double row = (panelHeight - 30) / static_cast<double>(summaries.size());
    for (std::size_t i = 0; i < summaries.size(); i++) {
        const double y = top + 24 + row * static_cast<double>(i);
        out << "<text x='8' y='" << y + 9 << "' font-size='10'>" << summaries[i].policy
            << "</text>\n";
        for (std::size_t s = 0; s < series.size(); s++) {
            const double offset = (barHeight + 1) * static_cast<double>(s);
            printBar(summaries[i].*series[s].value, series[s], scale, y + offset, out);
        }
    }
}

} // namespace

void printSvg(const std::string &title,
              const std::vector<PolicySummary> &summaries,
              std::ostream &out)
{
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='"
        << 2 * panelHeight + 20 << "' font-family='sans-serif'>\n"
        << "<rect width='100%' height='100%' fill='white'/>\n";
    printPanel(title + ": program latency in s",
               summaries,
               {{"p50", "#7aa6c2", &PolicySummary::p50},
                {"p95", "#2f6f9f", &PolicySummary::p95},
                {"p99", "#123c5a", &PolicySummary::p99}},
               4,
               out);
    printPanel(title + ": recomputed prefix and worst share in %",
               summaries,
               {{"wasted", "#b5651d", &PolicySummary::wastedShare, 100},
                {"share", "#3d8b5a", &PolicySummary::worstShare, 100}},
               panelHeight + 12,
               out);
    out << "</svg>\n";
}

} // namespace Experiment
