//! Reports of an experiment: plain text, and a self-contained HTML page with inline SVG plots.

use std::fmt::Write;

use super::experiment::Finding;
use super::measure::Measure;

/// Width of a plot in pixels.
const WIDTH: f64 = 720.0;
/// Height of a plot in pixels.
const HEIGHT: f64 = 320.0;
/// Margin around a plot for its labels, in pixels.
const MARGIN: f64 = 56.0;
/// Intervals of the grid in each direction.
const GRID_STEPS: usize = 5;
/// Colours of the series, used in turn.
const COLOURS: [&str; 5] = ["#1f6feb", "#d1570a", "#2da44e", "#8250df", "#6e7781"];

/// A line of a plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points `(x, y)` in ascending order of `x`.
    pub points: Vec<(f64, f64)>,
}

/// A plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Chart {
    /// Heading above the plot.
    pub title: String,
    /// Label of the horizontal axis, with the unit.
    pub x: String,
    /// Label of the vertical axis, with the unit.
    pub y: String,
    /// Lines of the plot.
    pub series: Vec<Series>,
}

/// Renders the HTML page of the experiment called `name`.
pub fn page(name: &str, finding: &Finding) -> String {
    let mut text = format!(
        "<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <title>{0}</title>\n<style>\n\
         body {{ font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 760px; }}\n\
         table {{ border-collapse: collapse; }}\n\
         td, th {{ border-bottom: 1px solid #d0d7de; padding: 4px 10px; text-align: left; }}\n\
         text {{ font: 12px sans-serif; fill: #24292f; }}\n\
         </style>\n</head>\n<body>\n<h1>{0}</h1>\n",
        escape(name)
    );
    text.push_str(&table(&finding.measure));
    finding.charts.iter().for_each(|chart| text.push_str(&chart.svg()));
    text.push_str("<h2>Runs</h2>\n<ul>\n");
    for note in &finding.notes {
        let _ = writeln!(text, "<li>{}</li>", escape(note));
    }
    text.push_str("</ul>\n</body>\n</html>\n");
    text
}

/// Renders the result of an experiment as plain text for a terminal.
pub fn text(finding: &Finding) -> String {
    let mut text = finding.notes.iter().fold(String::new(), |text, note| text + note + "\n");
    for measure in std::iter::once(&finding.measure).chain(&finding.measure.parts) {
        let _ =
            write!(text, "{}: {} {}", measure.measure, format_value(measure.ours), measure.unit);
        if let Some(baseline) = measure.baseline {
            let _ = write!(text, ", {} {}", measure.against, format_value(baseline));
        }
        if let Some(bound) = measure.bound {
            let verdict = if measure.met { "met" } else { "missed" };
            let _ = write!(text, ", bound {} {verdict}", format_value(bound));
        }
        text.push('\n');
    }
    text
}

fn table(measure: &Measure) -> String {
    let mut text = "<table>\n<tr><th>measure</th><th>ours</th><th>baseline</th><th>bound</th>\
                    <th>met</th></tr>\n"
        .to_owned();
    for measure in std::iter::once(measure).chain(&measure.parts) {
        let format_optional = |value: Option<f64>| value.map_or("–".to_owned(), format_value);
        let baseline = match measure.baseline {
            Some(baseline) => format!("{} ({})", format_value(baseline), escape(&measure.against)),
            None => "–".to_owned(),
        };
        let _ = writeln!(
            text,
            "<tr><td>{}, {}</td><td>{}</td><td>{baseline}</td><td>{}</td><td>{}</td></tr>",
            escape(&measure.measure),
            escape(&measure.unit),
            format_value(measure.ours),
            format_optional(measure.bound),
            if measure.met { "yes" } else { "no" }
        );
    }
    text.push_str("</table>\n");
    let seeds: Vec<String> = measure.seeds.iter().map(u64::to_string).collect();
    let _ = writeln!(text, "<p>Seeds: {}</p>", seeds.join(", "));
    text
}

/// Formats a value with two decimals, or none from 100 up.
fn format_value(value: f64) -> String {
    if value.abs() >= 100.0 {
        return format!("{value:.0}");
    }
    format!("{value:.2}")
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Maximum of each axis, to convert values to pixels.
struct Scale {
    x: f64,
    y: f64,
}

impl Scale {
    fn of(chart: &Chart) -> Scale {
        let points = || chart.series.iter().flat_map(|series| &series.points);
        let max_of = |pick: fn(&(f64, f64)) -> f64| points().map(pick).fold(0.0, f64::max);
        let nonzero = |max: f64| if max > 0.0 { max } else { 1.0 };
        Scale { x: nonzero(max_of(|point| point.0)), y: nonzero(max_of(|point| point.1)) }
    }

    fn at(&self, x: f64, y: f64) -> (f64, f64) {
        let pixel_x = MARGIN + x / self.x * (WIDTH - 2.0 * MARGIN);
        let pixel_y = HEIGHT - MARGIN - y / self.y * (HEIGHT - 2.0 * MARGIN);
        (pixel_x, pixel_y)
    }
}

impl Chart {
    /// Renders the plot as SVG; both axes start at zero.
    pub fn svg(&self) -> String {
        let scale = Scale::of(self);
        let mut text = format!(
            "<h2>{}</h2>\n<svg width=\"{WIDTH}\" height=\"{HEIGHT}\" role=\"img\">\n",
            escape(&self.title)
        );
        self.grid(&scale, &mut text);
        for (index, series) in self.series.iter().enumerate() {
            let colour = COLOURS[index % COLOURS.len()];
            polyline(series, colour, &scale, &mut text);
            let (y, name) = (20 + 16 * index, escape(&series.name));
            let _ = writeln!(
                text,
                "<rect x=\"{MARGIN}\" y=\"{}\" width=\"12\" height=\"4\" fill=\"{colour}\"/>\
                 <text x=\"{}\" y=\"{y}\">{name}</text>",
                y - 6,
                MARGIN + 18.0
            );
        }
        text.push_str("</svg>\n");
        text
    }

    fn grid(&self, scale: &Scale, text: &mut String) {
        for step in 0..=GRID_STEPS {
            let fraction = step as f64 / GRID_STEPS as f64;
            let (x, y) = scale.at(scale.x * fraction, scale.y * fraction);
            let (right, bottom) = (WIDTH - MARGIN, HEIGHT - MARGIN);
            let _ = writeln!(
                text,
                "<path d=\"M{MARGIN} {y:.1}H{right}M{x:.1} {MARGIN}V{bottom}\" stroke=\"#d8dee4\"/>\
                 <text x=\"{}\" y=\"{y:.1}\" text-anchor=\"end\">{}</text>\
                 <text x=\"{x:.1}\" y=\"{}\" text-anchor=\"middle\">{}</text>",
                MARGIN - 6.0,
                format_value(scale.y * fraction),
                bottom + 16.0,
                format_value(scale.x * fraction)
            );
        }
        let _ = writeln!(
            text,
            "<text x=\"{}\" y=\"{}\" text-anchor=\"middle\">{}</text>\
             <text x=\"14\" y=\"{}\" text-anchor=\"middle\" transform=\"rotate(-90 14 {})\">{}</text>",
            WIDTH / 2.0,
            HEIGHT - 14.0,
            escape(&self.x),
            HEIGHT / 2.0,
            HEIGHT / 2.0,
            escape(&self.y)
        );
    }
}

fn polyline(series: &Series, colour: &str, scale: &Scale, text: &mut String) {
    let points = series.points.iter().map(|(x, y)| {
        let (x, y) = scale.at(*x, *y);
        format!("{x:.1},{y:.1}")
    });
    let points: Vec<String> = points.collect();
    let _ = writeln!(
        text,
        "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\"/>",
        points.join(" ")
    );
}
