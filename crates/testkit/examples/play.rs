fn main() {
    let text = std::fs::read_to_string(std::env::args().nth(1).unwrap()).unwrap();
    let t = std::time::Instant::now();
    println!("{:?} {:?}", grebewood_testkit::play(&text), t.elapsed());
}
