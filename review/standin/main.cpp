// Runs one case: standin CASE RECORD. With TROUBLE=0 in the environment the disruption is left out.
#include "scenario.hpp"

#include <cstdlib>
#include <filesystem>
#include <iostream>

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: standin CASE RECORD\n";
        return review::couldNotRun;
    }
    const std::string name = argv[1];
    const char* variable = std::getenv("TROUBLE");
    const bool trouble = variable == nullptr || std::string(variable) != "0";
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr)
        return review::couldNotRun;
    asio::io_context context(1);
    review::Record record(argv[2]);
    record.write("case " + name + (trouble ? "" : " without the disruption"));
    review::ScenarioContext setup { context, record, folder, trouble };
    std::unique_ptr<review::Scenario> scenario;
    if (name == "late-removal")
        scenario = review::makeLateRemoval(setup);
    else if (name == "late-cut")
        scenario = review::makeLateCut(setup);
    else if (name == "revived-lease")
        scenario = review::makeRevivedLease(setup);
    int result = review::couldNotRun;
    if (scenario) {
        asio::co_spawn(context, scenario->run(), [&](std::exception_ptr error, int value) {
            try {
                if (error)
                    std::rethrow_exception(error);
                result = value;
            } catch (const std::exception& problem) {
                record.write(std::string("failed: ") + problem.what());
            }
            context.stop();
        });
        context.run_for(std::chrono::seconds(100));
    }
    record.write("result " + std::to_string(result));
    std::cout << name << ": "
              << (result == review::ruleHeld            ? "the rule held"
                         : result == review::ruleBroken ? "the rule was broken"
                                                        : "the case could not run")
              << "\n";
    std::cout.flush();
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(folder);
    else
        std::cout << folder << "\n";
    // Pending operations of the loop refer to objects that are gone.
    std::_Exit(result);
}
