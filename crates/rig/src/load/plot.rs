//! A bar plot as SVG, with a group of bars for each scenario and a bar for each series.

use std::fmt::Write;

/// The size of the plot, in pixels.
const WIDTH_PX: f64 = 960.0;
const HEIGHT_PX: f64 = 420.0;

/// The margins for the axis, the title and the scenario names, in pixels.
const MARGIN_LEFT_PX: f64 = 60.0;
const MARGIN_TOP_PX: f64 = 40.0;
const MARGIN_BOTTOM_PX: f64 = 130.0;

/// The colours of the series, in order.
const COLOURS: [&str; 4] = ["#4477aa", "#ee6677", "#228833", "#ccbb44"];

/// The values of one series, one for each scenario.
#[derive(Clone, Debug)]
pub struct Series {
    /// Its name in the legend.
    pub name: String,
    /// Its values, in the plot's unit.
    pub values: Vec<f64>,
}

/// A bar plot with a logarithmic axis.
#[derive(Clone, Debug)]
pub struct Plot {
    /// The title, with the unit.
    pub title: String,
    /// The scenarios, left to right.
    pub scenarios: Vec<String>,
    /// The series.
    pub series: Vec<Series>,
}

impl Plot {
    /// Renders the plot as an SVG document.
    #[must_use]
    pub fn svg(&self) -> String {
        let mut out = String::new();
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            out,
            r#"<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH_PX} {HEIGHT_PX}" font-family="sans-serif" font-size="11">"#
        );
        let _ = writeln!(
            out,
            r#"<rect width="100%" height="100%" fill="white"/><text x="{MARGIN_LEFT_PX}" y="20" font-size="14">{}</text>"#,
            self.title
        );
        self.axis(&mut out);
        for (i, name) in self.scenarios.iter().enumerate() {
            self.group(&mut out, i, name);
        }
        self.legend(&mut out);
        out.push_str("</svg>\n");
        out
    }

    /// Returns the exponents of the powers of ten between which the values lie.
    fn bounds(&self) -> (f64, f64) {
        let values = self.series.iter().flat_map(|s| &s.values);
        let (mut low, mut high) = (f64::MAX, 0.0_f64);
        for v in values.filter(|v| **v > 0.0) {
            low = low.min(*v);
            high = high.max(*v);
        }
        if high == 0.0 {
            return (0.0, 1.0);
        }
        let (low, high) = (low.log10().floor(), high.log10().ceil());
        (low, high.max(low + 1.0))
    }

    fn y(&self, value: f64) -> f64 {
        let (low, high) = self.bounds();
        let at = ((value.max(f64::MIN_POSITIVE).log10() - low) / (high - low)).clamp(0.0, 1.0);
        HEIGHT_PX - MARGIN_BOTTOM_PX - at * (HEIGHT_PX - MARGIN_BOTTOM_PX - MARGIN_TOP_PX)
    }

    fn axis(&self, out: &mut String) {
        let (low, high) = self.bounds();
        let mut power = low;
        while power <= high {
            for step in [1.0, 2.0, 5.0] {
                let value = step * 10_f64.powf(power);
                let y = self.y(value);
                if value <= 10_f64.powf(high) {
                    let _ = writeln!(
                        out,
                        r##"<line x1="{MARGIN_LEFT_PX}" x2="{WIDTH_PX}" y1="{y:.1}" y2="{y:.1}" stroke="#dddddd"/><text x="{}" y="{:.1}" text-anchor="end">{value}</text>"##,
                        MARGIN_LEFT_PX - 6.0,
                        y + 4.0
                    );
                }
            }
            power += 1.0;
        }
    }

    fn group(&self, out: &mut String, i: usize, name: &str) {
        let group_width = (WIDTH_PX - MARGIN_LEFT_PX) / self.scenarios.len().max(1) as f64;
        let bar = group_width * 0.8 / self.series.len().max(1) as f64;
        let x0 = MARGIN_LEFT_PX + group_width * i as f64;
        for (k, s) in self.series.iter().enumerate() {
            let value = s.values.get(i).copied().unwrap_or(0.0);
            let y = self.y(value);
            let _ = writeln!(
                out,
                r#"<rect x="{:.1}" y="{y:.1}" width="{bar:.1}" height="{:.1}" fill="{}"><title>{name}, {}: {value:.2}</title></rect>"#,
                x0 + bar * k as f64,
                HEIGHT_PX - MARGIN_BOTTOM_PX - y,
                COLOURS[k % COLOURS.len()],
                s.name,
            );
        }
        let (x, y) = (x0 + group_width * 0.4, HEIGHT_PX - MARGIN_BOTTOM_PX + 14.0);
        let _ = writeln!(
            out,
            r#"<text x="{x:.1}" y="{y:.1}" text-anchor="end" transform="rotate(-35 {x:.1} {y:.1})">{name}</text>"#
        );
    }

    fn legend(&self, out: &mut String) {
        for (k, s) in self.series.iter().enumerate() {
            let x = WIDTH_PX - 220.0 + 110.0 * (k % 2) as f64;
            let y = 10.0 + 14.0 * (k / 2) as f64;
            let _ = writeln!(
                out,
                r#"<rect x="{x}" y="{y}" width="10" height="10" fill="{}"/><text x="{}" y="{}">{}</text>"#,
                COLOURS[k % COLOURS.len()],
                x + 14.0,
                y + 9.0,
                s.name
            );
        }
    }
}
