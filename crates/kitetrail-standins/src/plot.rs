//! Draws SVG plots from the output of the measurement scripts.

use std::{collections::BTreeMap, fs, path::Path};

use plotters::prelude::*;

use crate::{args::PlotArgs, server::StandinError};

const PLOT_SIZE: (u32, u32) = (640, 400);
/// The plots: the keyword that precedes the value, the file, the title and the divisor of the value.
const PLOTS: [(&str, &str, &str, f64); 3] = [
    ("goodput", "goodput.svg", "good answers per second", 1.0),
    ("p50", "p50.svg", "median latency, ms", 1_000.0),
    ("p99", "p99.svg", "99th percentile of latency, ms", 1_000.0),
];

/// The points of each line, as load factor and value, by the label of the line.
type Lines = BTreeMap<String, Vec<(f64, f64)>>;

/// Draws all plots.
pub fn run(args: &PlotArgs) -> Result<(), StandinError> {
    let operation = format!("can't read {}", args.from.display());
    let text = fs::read_to_string(&args.from);
    let text = text.map_err(|cause| StandinError::Io { operation, cause })?;
    for (keyword, file, title, divisor) in PLOTS {
        let lines = read_lines(&text, keyword, divisor);
        let path = args.to.join(file);
        draw_plot(&path, title, &lines).map_err(|error| {
            StandinError::Invalid(format!("{} can't be drawn: {error}", path.display()))
        })?;
        println!("{}", path.display());
    }
    Ok(())
}

/// Parses lines such as `kitetrail 10x: goodput 885.1/s p50 300031 ...`.
fn read_lines(text: &str, keyword: &str, divisor: f64) -> Lines {
    let mut lines = Lines::new();
    for line in text.lines() {
        let Some((series, figures)) = line.split_once("x: ") else { continue };
        let Some((label, factor)) = series.rsplit_once(' ') else { continue };
        let mut words = figures.split_whitespace().skip_while(|word| *word != keyword);
        let figure = words.nth(1).map(|figure| figure.trim_end_matches("/s"));
        if let (Ok(factor), Some(Ok(figure))) = (factor.parse(), figure.map(str::parse::<f64>)) {
            lines.entry(label.to_owned()).or_default().push((factor, figure / divisor));
        }
    }
    lines
}

fn draw_plot(path: &Path, title: &str, lines: &Lines) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.values().flatten();
    let max_x = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let max_y = points().map(|(_, y)| *y).fold(1.0, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..max_x * 1.05, 0.0..max_y * 1.1)?;
    chart.configure_mesh().x_desc("load, times 600 calls/s").draw()?;
    for (number, (label, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let series = LineSeries::new(points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(series)?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
